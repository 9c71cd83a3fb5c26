"""Free capacity of servers, including reservations for requests placed but not yet sent."""

from collections.abc import Callable, Sequence

from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.server_record import ServerRecord


def in_flight_limit(server: ServerRecord) -> int:
    """Return how many requests a server may have from all gateways together.

    Its slots plus a short queue: a server may never answer a request beyond what it can queue.
    """
    return server.slots + max(1, server.slots // 2)


class CapacityTracker:
    """Tracks which servers may get one more request.

    A placed request counts as in flight only when its own task resumes. Until then a reservation
    keeps the same capacity from being given to every waiting request.

    :param limit: returns the most requests that a server may have in flight.
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
        """Return whether the server may get one more request."""
        reserved = self._reserved.get(server.server_id, 0)
        if self._server_stats.in_flight(server.server_id) + reserved >= self._limit(server):
            return False
        return self._rate_limiter.has_permit(server)

    def with_capacity(self, servers: Sequence[ServerRecord]) -> list[ServerRecord]:
        """Return the servers that may get one more request: by the newest counts, or as some of the
        reported requests have probably ended since. Otherwise a server that others filled would
        stay excluded until their next report, and get the requests of all gateways after it."""
        in_flight, limit, reserved = self._server_stats.in_flight, self._limit, self._reserved
        expected, age_s = self._server_stats.expected_in_flight, self._server_stats.report_age_s()
        with_room = []
        for each in servers:
            left = limit(each) - reserved.get(each.server_id, 0)
            if in_flight(each.server_id) < left or (age_s > 0 and expected(each, age_s) < left):
                with_room.append(each)
        if not self._rate_limiter.has_rate_limits():
            return with_room
        return [each for each in with_room if self._rate_limiter.has_permit(each)]

    def has_rate_limits(self) -> bool:
        """Return whether any server may have a rate limit (a cheap check)."""
        return self._rate_limiter.has_rate_limits()

    def permit_in_s(self, servers: Sequence[ServerRecord]) -> float:
        """Return the time until the rate limit of one of the servers permits a request; 0 if one
        does now."""
        if not self._rate_limiter.has_rate_limits():
            return 0.0
        return min((self._rate_limiter.permit_in_s(each) for each in servers), default=0.0)

    def total_rate_per_s(self, servers: Sequence[ServerRecord]) -> float | None:
        """Return the sum of the servers' rate limits; None if one has no limit."""
        return (
            self._rate_limiter.total_rate_per_s(servers)
            if self._rate_limiter.has_rate_limits()
            else None
        )

    def is_paced_elsewhere(self, server: ServerRecord) -> bool:
        """Return whether another process, the server's broker, enforces its rate limit."""
        return self._rate_limiter.has_rate_limits() and self._rate_limiter.is_paced_elsewhere(
            server
        )

    def effective_slots(self, server: ServerRecord, service_s: float) -> float:
        """Return the concurrency that the server's slots and rate limit allow for requests that
        take `service_s` each."""
        return self._rate_limiter.effective_slots(server, service_s)

    def reserve(self, server: ServerRecord) -> None:
        """Reserve capacity for a placed request, and consume a rate permit."""
        self._reserved[server.server_id] = self._reserved.get(server.server_id, 0) + 1
        self._rate_limiter.consume_permit(server)

    def release_reservation(self, server: ServerRecord) -> None:
        """Release a reservation: its request now counts as in flight, or was withdrawn."""
        left = self._reserved.pop(server.server_id) - 1
        if left:
            self._reserved[server.server_id] = left

    def reserved_count(self) -> int:
        """Return the number of reservations."""
        return sum(self._reserved.values())
