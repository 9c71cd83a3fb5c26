"""Typed errors of the list of servers."""

from indigoworks.common.errors import IndigoworksError


class ServerEntryUnreadable(IndigoworksError):
    """An entry that cannot be read; its server gets no work until it can be."""

    kind = "server_entry_unreadable"
