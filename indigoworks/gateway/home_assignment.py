"""Slots that are assigned to this gateway, as the group and the servers are known now."""

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.gateway.home_slots import home_slots
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.server_source import ServerSource

LIVE_S = 1.0
"""Age of the newest sign of a peer up to which slots are assigned to it."""

CACHE_S = 0.1
"""Time for which an assignment is used; a lost peer is noticed after 1 s."""

NO_SLOTS: dict[str, float] = {}


class HomeAssignment:
    """Assigns the servers of a zone to the gateways of that zone that are heard.

    Where the zone has no server of the service, all servers are assigned to all gateways.
    """

    def __init__(
        self,
        own: PeerAddress,
        servers: ServerSource,
        server_stats: ServerStats,
        peers: PeerView,
        directory: PeerDirectory,
        clock: Clock,
    ) -> None:
        self._node = own.node
        self._zone = own.zone
        self._servers = servers
        self._server_stats = server_stats
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._cached: dict[str, tuple[float, dict[str, float]]] = {}

    def slots(self, service: str) -> dict[str, float]:
        """Return the slots assigned to this gateway by server; empty without a peer that has
        requests at the service."""
        now_s = self._clock.now()
        known = self._cached.get(service)
        if known is None or now_s >= known[0]:
            known = now_s + CACHE_S, self._assign(service)
            self._cached[service] = known
        return known[1]

    def _assign(self, service: str) -> dict[str, float]:
        servers = list(self._servers.usable(service))
        near = [each for each in servers if each.zone == self._zone]
        heard = [
            each.node
            for each in self._directory.others()
            if (not near or each.zone == self._zone) and self._is_heard(each.node)
        ]
        # Without requests of others nothing keeps a gateway from the fastest servers.
        if not heard or not any(self._peers.in_flight(each.server_id) for each in servers):
            return NO_SLOTS
        time_s = self._server_stats.service_time_s
        capacities = [(each.server_id, each.slots, time_s(each)) for each in near or servers]
        return home_slots(self._node, [self._node, *heard], capacities)

    def _is_heard(self, node: str) -> bool:
        heard_s = self._peers.heard_time_s(node)
        return heard_s is not None and self._clock.now() - heard_s <= LIVE_S
