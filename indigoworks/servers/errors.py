"""Errors of the server list."""

from indigoworks.common.errors import IndigoworksError


class ServerEntryUnreadable(IndigoworksError):
    """An entry is malformed; its server gets no requests until it is corrected."""

    kind = "server_entry_unreadable"
