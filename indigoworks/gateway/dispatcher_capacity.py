"""Capacity of servers at their dispatcher."""

from collections.abc import Sequence

from indigoworks.exchange.load_view import LoadView
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.server_record import ServerRecord

RECHECK_S = 0.05
"""Time after which a queue is served again whose server has requests of other gateways: no event
announces their end."""


class DispatcherCapacity(CapacityTracker):
    """Allows each server as many requests as it has slots: further ones wait here, by priority.

    :param others: requests of other gateways.
    """

    def __init__(
        self, server_stats: ServerStats, rate_limiter: ServerRateLimiter, others: LoadView
    ) -> None:
        super().__init__(server_stats, rate_limiter, _slots)
        self._others = others

    def permit_in_s(self, servers: Sequence[ServerRecord]) -> float:
        """Return the time after which to check the capacity of the servers again; 0: not needed."""
        permit_s = super().permit_in_s(servers)
        if permit_s > 0:
            return permit_s
        has_others = any(self._others.in_flight(each.server_id) for each in servers)
        return RECHECK_S if has_others else 0.0


def _slots(server: ServerRecord) -> int:
    return server.slots
