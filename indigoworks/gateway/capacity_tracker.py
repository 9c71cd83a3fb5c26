"""Room at servers, and places that are given but do not count there yet."""

from collections.abc import Callable, Sequence

from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.server_record import ServerRecord


def in_flight_limit(server: ServerRecord) -> int:
    """Return how many requests a server may have from all gateways together.

    Its slots and a short queue: what it cannot queue a server may leave unanswered for ever.
    """
    return server.slots + max(1, server.slots // 2)


class CapacityTracker:
    """Tells which servers have room.

    A request that has got a place counts at the server only when its own task goes on: until then a
    reservation keeps the place from being given to everyone who waits.

    :param limit: returns how many requests a server may have.
    """

    def __init__(
        self,
        server_stats: ServerStats,
        rate_limiter: ServerRateLimiter,
        limit: Callable[[ServerRecord], int] = in_flight_limit,
    ) -> None:
        self._server_stats = server_stats
        self._rate_limiter = rate_limiter
        self._limit = limit
        self._reserved: dict[str, int] = {}

    def has_capacity(self, server: ServerRecord) -> bool:
        """Tell whether the server may get one more request."""
        reserved = self._reserved.get(server.server_id, 0)
        if self._server_stats.in_flight(server.server_id) + reserved >= self._limit(server):
            return False
        return self._rate_limiter.has_permit(server)

    def with_capacity(self, servers: Sequence[ServerRecord]) -> list[ServerRecord]:
        """Return the servers that may get one more request."""
        in_flight, limit, reserved = self._server_stats.in_flight, self._limit, self._reserved
        with_room = [
            each
            for each in servers
            if in_flight(each.server_id) + reserved.get(each.server_id, 0) < limit(each)
        ]
        if not self._rate_limiter.has_rate_limits():
            return with_room
        return [each for each in with_room if self._rate_limiter.has_permit(each)]

    def has_rate_limits(self) -> bool:
        """Tell whether any server may be bound to a rate: a quick look."""
        return self._rate_limiter.has_rate_limits()

    def permit_in_s(self, servers: Sequence[ServerRecord]) -> float:
        """Return the time until one of the servers may get a request as far as its rate goes; 0:
        one may now."""
        if not self._rate_limiter.has_rate_limits():
            return 0.0
        return min((self._rate_limiter.permit_in_s(each) for each in servers), default=0.0)

    def total_rate_per_s(self, servers: Sequence[ServerRecord]) -> float | None:
        """Return the requests a second that go to all these servers; None: one is not bound."""
        return (
            self._rate_limiter.total_rate_per_s(servers)
            if self._rate_limiter.has_rate_limits()
            else None
        )

    def is_paced_elsewhere(self, server: ServerRecord) -> bool:
        """Tell whether only the broker of a server lets requests go there."""
        return self._rate_limiter.has_rate_limits() and self._rate_limiter.is_paced_elsewhere(
            server
        )

    def effective_slots(self, server: ServerRecord, service_s: float) -> float:
        """Return how many requests, each of which takes `service_s`, the server can work on at a
        time for this gateway."""
        return self._rate_limiter.effective_slots(server, service_s)

    def reserve(self, server: ServerRecord) -> None:
        """Keep a place at the server."""
        self._reserved[server.server_id] = self._reserved.get(server.server_id, 0) + 1
        self._rate_limiter.consume_permit(server)

    def release_reservation(self, server: ServerRecord) -> None:
        """Give a kept place up: its request counts at the server from now on, or has left."""
        left = self._reserved.pop(server.server_id) - 1
        if left:
            self._reserved[server.server_id] = left

    def reserved_count(self) -> int:
        """Return how many places are kept."""
        return sum(self._reserved.values())
