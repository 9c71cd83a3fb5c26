"""Finds the owner of a key, and whether it can serve requests now."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from indigoworks.common.clock import Clock
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

NOT_HELD_S = 0.05
"""Time for which a range counts as not granted after its owner said that it does not hold a key:
sending requests there at once would only use up retries."""

MAX_NOT_HELD_S = 0.4
"""Upper bound of that time, which doubles with each further such answer."""

NOT_HELD_MEMORY_S = 1.0
"""An answer that arrives this long after that time starts with NOT_HELD_S again."""


class OwnerState(Enum):
    """States of a key's owner as a gateway sees them."""

    READY = "ready"
    PENDING = "pending"
    """The owner has not been granted the key yet, or recently said that it does not hold it."""
    UNREACHABLE = "unreachable"
    """The owner cannot be reached, is leaving, or is unknown."""
    OUT_OF_REACH_HERE = "out_of_reach_here"
    """The owner is reached by a peer, and not from here."""
    RESTING = "resting"
    """The owner asked this process for rest."""
    NONE = "none"
    """No range in the ownership tables contains the key."""


@dataclass(frozen=True, slots=True)
class Owner:
    """Owner of a key, with the token and the first key of its range.

    :ivar rest_left_s: seconds left of the rest that the owner asked for; 0 if it did not.
    """

    state: OwnerState
    server: ServerRecord | None = None
    token: int = 0
    first: int = 0
    rest_left_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _NotHeld:
    until_s: float
    pause_s: float


class OwnerLookup:
    """Combines ownership tables, the server list, reachability, and answers of the owners."""

    def __init__(
        self,
        tables: OwnershipTables,
        servers: ServerSource,
        server_stats: ServerStats,
        clock: Clock,
        is_reached_by_peers: Callable[[str], bool] = lambda server_id: False,
    ) -> None:
        self._is_reached_by_peers = is_reached_by_peers
        self._tables = tables
        self._servers = servers
        self._server_stats = server_stats
        self._clock = clock
        self._not_held: dict[tuple[str, OwnedRange], _NotHeld] = {}

    def record_not_held(self, service: str, key: int, server_id: str) -> None:
        """Record that a server denied holding a key that the table assigns to it."""
        found = self._tables.find(service, key)
        if found is None or found.server_id != server_id:
            return
        now_s = self._clock.now()
        self._forget_old(now_s)
        known = self._not_held.get((service, found))
        if known is None:
            self._not_held[service, found] = _NotHeld(now_s + NOT_HELD_S, NOT_HELD_S)
        elif known.until_s <= now_s:
            pause_s = min(2 * known.pause_s, MAX_NOT_HELD_S)
            self._not_held[service, found] = _NotHeld(now_s + pause_s, pause_s)

    def find(self, service: str, key: int) -> Owner:
        """Return the owner of a key."""
        found = self._tables.find(service, key)
        if found is None:
            return Owner(OwnerState.NONE)
        server = self._servers.get(found.server_id)
        if server is None or not self._servers.may_serve_own_keys(found.server_id):
            return Owner(OwnerState.UNREACHABLE, server, found.token, found.first)
        if self._server_stats.down.is_down(found.server_id):
            is_reached = self._is_reached_by_peers(found.server_id)
            state = OwnerState.OUT_OF_REACH_HERE if is_reached else OwnerState.UNREACHABLE
            return Owner(state, server, found.token, found.first)
        if self._tables.is_pending(service, found) or self._is_not_held(service, found):
            return Owner(OwnerState.PENDING, server, found.token, found.first)
        left_s = self._servers.rest_left_s(found.server_id) if self._servers.has_resting() else 0.0
        if left_s > 0:
            return Owner(OwnerState.RESTING, server, found.token, found.first, left_s)
        return Owner(OwnerState.READY, server, found.token, found.first)

    def is_gone(self, server_id: str) -> bool:
        """Return whether a server's process has ended, or is out of reach from here."""
        return self._servers.is_gone(server_id) or self._server_stats.down.is_down(server_id)

    def _is_not_held(self, service: str, found: OwnedRange) -> bool:
        if not self._not_held:
            return False
        known = self._not_held.get((service, found))
        return known is not None and self._clock.now() < known.until_s

    def _forget_old(self, now_s: float) -> None:
        earliest_s = now_s - NOT_HELD_MEMORY_S
        for name in [each for each, known in self._not_held.items() if known.until_s < earliest_s]:
            del self._not_held[name]
