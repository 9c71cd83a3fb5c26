"""Limits the rate of requests to cold servers and to servers that state a limit."""

from collections.abc import Callable, Iterable, Sequence

from indigoworks.common.clock import Clock
from indigoworks.servers.cold_servers import ColdServers
from indigoworks.servers.server_limits import GRANTED_SHARE, ServerLimits
from indigoworks.servers.server_record import ServerRecord

BURST = 2
"""Requests that may be sent at once after a pause: arrivals are random, and with a burst of one the
second request of each pair would wait. Two brokers with two each use four of the five requests by
which a limit may be exceeded within 4 s (see PASSED_SHARE)."""

MAX_BROKERS = 2
"""Brokers that may each spend the whole rate: two, while their member lists differ."""

ROUNDING_S = 1e-6
"""Differences of clock readings below this are rounding errors."""


class ServerRateLimiter:
    """Issues permits for requests to rate-limited servers.

    A rate applies to all gateways together, so a single gateway spends it: the broker of the
    server's service and zone. All other gateways request permits from the broker, also in small
    groups and for requests by key, and send such a server nothing on their own.

    Cold servers of keyed services are not limited: the owner is the only server that can answer,
    and the leader gives cold servers no keys.

    In a network partition each side has its own broker. Each spends the rate times the ratio of its
    gateways to half of the group, at most the whole rate, so that all sides together spend at most
    twice the rate, as two brokers with different member lists do.

    :param is_keyed: returns whether the servers of a service own keys.
    :param zone: zone of the broker's queue that this limiter serves; None in a gateway's own queue.
    :param heard_share: returns the share of the group from which this process receives reports.
    """

    def __init__(
        self,
        cold: ColdServers,
        limits: ServerLimits,
        is_keyed: Callable[[str], bool],
        clock: Clock,
        zone: str | None = None,
        heard_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._cold = cold
        self._limits = limits
        self._is_keyed = is_keyed
        self._clock = clock
        self._zone = zone
        self._heard_share = heard_share
        self._next_s: dict[str, float] = {}

    # ---- queries ----

    def has_rate_limits(self) -> bool:
        """Return whether any server may have a rate limit (a cheap check)."""
        return self._limits.has_any() or self._cold.has_any()

    def is_limited(self, server: ServerRecord) -> bool:
        """Return whether the server has a rate limit."""
        return self._rate_per_s(server) is not None

    def is_paced_elsewhere(self, server: ServerRecord) -> bool:
        """Return whether a server is rate-limited by another process."""
        return self.is_limited(server) and server.zone != self._zone

    def any_paced_elsewhere(self, servers: Iterable[ServerRecord]) -> bool:
        """Return whether another process rate-limits any of these servers."""
        return self.has_rate_limits() and any(map(self.is_paced_elsewhere, servers))

    def has_permit(self, server: ServerRecord) -> bool:
        """Return whether the rate limit permits this process a request to the server now."""
        return not self.is_paced_elsewhere(server) and self.permit_in_s(server) <= 0

    def permit_in_s(self, server: ServerRecord) -> float:
        """Return the time until the rate limit permits the next request; 0 if it does now."""
        rate_per_s = self._rate_per_s(server)
        if rate_per_s is None:
            return 0.0
        pause_s = 1 / rate_per_s
        # A burst allows a request to go earlier by one pause for each request after the first.
        permit_s = self._next_permit_s(server, pause_s) - (self._burst() - 1) * pause_s
        left_s = permit_s - self._clock.now()
        return left_s if left_s > ROUNDING_S else 0.0

    def total_rate_per_s(self, servers: Sequence[ServerRecord]) -> float | None:
        """Return the sum of the servers' rate limits; None if one has no limit."""
        rates_per_s = [self._rate_per_s(each) for each in servers]
        bound = [each for each in rates_per_s if each is not None]
        return sum(bound) if len(bound) == len(servers) else None

    def effective_slots(self, server: ServerRecord, service_s: float) -> float:
        """Return the concurrency that the server's slots and rate limit allow for requests that
        take `service_s` each."""
        rate_per_s = self._rate_per_s(server)
        return server.slots if rate_per_s is None else min(server.slots, rate_per_s * service_s)

    # ---- changes ----

    def consume_permit(self, server: ServerRecord) -> None:
        """Consume the permit of a request that is about to be sent."""
        rate_per_s = self._rate_per_s(server)
        if rate_per_s is None:
            self._next_s.pop(server.server_id, None)
            return
        pause_s = 1 / rate_per_s
        from_s = max(self._next_permit_s(server, pause_s), self._clock.now())
        self._next_s[server.server_id] = from_s + pause_s

    def forget(self, server_id: str) -> None:
        """Drop the state of a server that left."""
        self._next_s.pop(server_id, None)

    # ---- parts ----

    def _rate_per_s(self, server: ServerRecord) -> float | None:
        """Return the rate at which this process may send; None if the server has no limit."""
        rate_per_s = self._group_rate_per_s(server)
        return None if rate_per_s is None else rate_per_s * self._spent_share()

    def _spent_share(self) -> float:
        """Return the share of a rate that this process may spend as broker."""
        return min(1.0, MAX_BROKERS * self._heard_share())

    def _burst(self) -> int:
        """Return how many requests may go at once; each side of a partition has its own burst."""
        return BURST if self._spent_share() == 1.0 else 1

    def _group_rate_per_s(self, server: ServerRecord) -> float | None:
        limits = self._limits
        limit_per_s = limits.granted_per_s(server.server_id) if limits.has_any() else None
        cold_per_s = self._cold_per_s(server) if self._cold.has_any() else None
        if limit_per_s is None or cold_per_s is None:
            return cold_per_s if limit_per_s is None else limit_per_s
        return min(limit_per_s, cold_per_s)

    def _cold_per_s(self, server: ServerRecord) -> float | None:
        if self._is_keyed(server.service) or not self._cold.is_cold(server):
            return None
        limit = self._cold.limit_of(server.service)
        assert limit is not None
        return GRANTED_SHARE * limit.requests_per_s

    def _next_permit_s(self, server: ServerRecord, pause_s: float) -> float:
        """Return the clock reading of the next permit without a burst.

        A server that is new here may have got requests from another broker, so it starts with one
        permit. After an increase of the rate, the wait is cut to that of the new rate.
        """
        now_s = self._clock.now()
        burst = self._burst()
        known_s = self._next_s.get(server.server_id, now_s + (burst - 1) * pause_s)
        next_s = self._next_s[server.server_id] = min(known_s, now_s + burst * pause_s)
        return next_s
