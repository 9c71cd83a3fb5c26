"""Owners that asked for rest, and which of them are to lose their keys for it."""

from collections.abc import Sequence

from indigoworks.exchange.peer_view import PeerView
from indigoworks.ownership.load_balancer import HIGH_UTILISATION
from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.server_load_share import requests_by_server
from indigoworks.servers.server_source import ServerSource

MIN_REST_TO_MOVE_S = 1.0
"""Keys of a server that wants a shorter rest stay with it: a move takes about half a second, in
which nobody serves them either, and moves others with them. An estimate."""


class RestingOwners:
    """Goes by what servers told the gateways; a single gateway's word counts where there is no
    other.

    A rest refuses the callers of a server's keys until it is over, and may be asked for again and
    again; other servers of the service can serve them half a second later. Where these have no room
    the keys stay: else one server that is overloaded would hand its load to the next, and so on.
    """

    def __init__(self, servers: ServerSource, peers: PeerView) -> None:
        self._servers = servers
        self._peers = peers

    def is_resting(self, server_id: str) -> bool:
        """Tell whether a server is to get no further keys."""
        return self._left_s(server_id) > 0

    def to_relieve(
        self, table: OwnershipTable, window: LoadWindow, stayers: Sequence[ServerCapacity]
    ) -> list[str]:
        """Return the owners whose keys are to move to `stayers`, none of which rests."""
        if not stayers or not self._servers.has_resting():
            return []
        owners = {each.server_id for each in table.ranges}
        resting = [each for each in sorted(owners) if self._left_s(each) >= MIN_REST_TO_MOVE_S]
        if not resting or not self._has_room(table, window, resting, stayers):
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
        stayers: Sequence[ServerCapacity],
    ) -> bool:
        """Tell whether `stayers` stay below HIGH_UTILISATION in the mean with all these keys."""
        hits = sum(requests_by_server(table, window, stayers).values())
        hits += sum(
            window.count_between(each.first, each.last)
            for server_id in resting
            for each in table.ranges_of(server_id)
        )
        capacity_per_s = sum(each.usable_per_s for each in stayers)
        return hits / window.covered_s <= HIGH_UTILISATION * capacity_per_s
