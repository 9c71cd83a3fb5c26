"""Who owns a key, and whether requests may go there now."""

from dataclasses import dataclass
from enum import Enum

from indigoworks.gateway.server_board import ServerBoard
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource


class OwnerState(Enum):
    """States of a key as a gateway sees them."""

    READY = "ready"
    PENDING = "pending"
    """The owner has not been granted the key yet."""
    UNREACHABLE = "unreachable"
    """The owner cannot be reached, is leaving, or is not known."""
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Owner:
    """Owner of a key; `token` is that of its range."""

    state: OwnerState
    server: ServerRecord | None = None
    token: int = 0


class OwnerLookup:
    """Joins the tables of owners with the list of servers."""

    def __init__(self, tables: OwnershipTables, servers: ServerSource, board: ServerBoard) -> None:
        self._tables = tables
        self._servers = servers
        self._board = board

    def find(self, service: str, key: int) -> Owner:
        """Return the owner of a key."""
        found = self._tables.find(service, key)
        if found is None:
            return Owner(OwnerState.NONE)
        server = self._servers.get(found.server_id)
        if server is None or not self._servers.is_usable(found.server_id):
            return Owner(OwnerState.UNREACHABLE, server, found.token)
        if self._board.is_down(found.server_id):
            return Owner(OwnerState.UNREACHABLE, server, found.token)
        if self._tables.is_pending(service, found):
            return Owner(OwnerState.PENDING, server, found.token)
        return Owner(OwnerState.READY, server, found.token)
