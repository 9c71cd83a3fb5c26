"""Owners that rest (see servers/resting_servers.py), and which of them lose their keys for it."""

from collections.abc import Sequence

from indigoworks.exchange.peer_view import PeerView
from indigoworks.ownership.load_balancer import HIGH_UTILISATION
from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.server_load_share import requests_by_server
from indigoworks.servers.server_source import ServerSource

MIN_REST_TO_MOVE_S = 1.0
"""Keys of a server that asks for a shorter rest stay with it: a move takes about half a second, in
which nobody serves them either, and moves other keys with them."""


class RestingOwners:
    """Selects owners that asked several gateways for rest, or one if there is no other.

    Callers of a resting server's keys are refused until its rest ends, and it may ask for more
    rests; other servers of the service can serve the keys half a second later. If these have no
    room, the keys stay: otherwise an overloaded server would overload the next one, and so on.
    """

    def __init__(self, servers: ServerSource, peers: PeerView) -> None:
        self._servers = servers
        self._peers = peers

    def is_resting(self, server_id: str) -> bool:
        """Return whether a server rests, so that it gets no further keys."""
        return self._left_s(server_id) > 0

    def owners_to_relieve(
        self, table: OwnershipTable, window: LoadWindow, targets: Sequence[ServerCapacity]
    ) -> list[str]:
        """Return the resting owners whose keys are to move to `targets`, none of which rests."""
        if not targets or not self._servers.has_resting():
            return []
        owners = {each.server_id for each in table.ranges}
        resting = [each for each in sorted(owners) if self._left_s(each) >= MIN_REST_TO_MOVE_S]
        if not resting or not self._has_room(table, window, resting, targets):
            return []
        return resting

    def _left_s(self, server_id: str) -> float:
        if not self._servers.has_resting():
            return 0.0
        if self._peers.live_count() == 0:
            return self._servers.rest_left_s(server_id)
        return self._servers.rest_left_s_for_many(server_id)

    def _has_room(
        self,
        table: OwnershipTable,
        window: LoadWindow,
        resting: Sequence[str],
        targets: Sequence[ServerCapacity],
    ) -> bool:
        """Return whether `targets` stay below HIGH_UTILISATION on average with these keys."""
        hits = sum(requests_by_server(table, window, targets).values())
        hits += sum(
            window.count_between(each.first, each.last)
            for server_id in resting
            for each in table.ranges_of(server_id)
        )
        capacity_per_s = sum(each.usable_per_s for each in targets)
        return hits / window.covered_s <= HIGH_UTILISATION * capacity_per_s
