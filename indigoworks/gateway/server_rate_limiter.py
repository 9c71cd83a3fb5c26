"""How many requests a second servers get that bear or take only so many."""

from collections.abc import Callable, Iterable, Sequence

from indigoworks.common.clock import Clock
from indigoworks.servers.cold_servers import ColdServers
from indigoworks.servers.server_limits import PASSED_SHARE, ServerLimits
from indigoworks.servers.server_record import ServerRecord

BURST = 2
"""Requests that may go at once after a pause: callers come by chance, and with one at a time every
second of a pair would wait. Two brokers with two each stay within the users' slack of five."""

MAX_BROKERS = 2
"""So many brokers may spend a whole rate each: two, whose lists of members differ."""

ROUNDING_S = 1e-6
"""Differences of clock readings below this are errors of rounding."""


class ServerRateLimiter:
    """Paces the requests to cold servers, and to those that name a limit.

    Both rates are sums over all gateways. One gateway spends each of them: the broker of the
    server's service and zone, which all others ask, in small groups too, and by key where its
    servers own keys. Whoever is no broker sends such a server nothing of its own accord.

    Cold servers of keyed services are left out: their owner is the only server that can answer, and
    the leader gives cold ones no keys.

    :param is_keyed: tells whether the servers of a service own keys.
    In a cut each part of the group has a broker of its own. Each spends the part of a rate that its
    gateways are of half of the group, so that all together spend twice the rate at most, as two
    brokers do whose lists differ.

    :param zone: of the servers that this process paces as their broker; None: it paces none.
    :param heard_share: returns the share of the group that this process hears.
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

    # ---- questions ----

    def has_rate_limits(self) -> bool:
        """Tell whether any server may be bound to a rate: a quick look."""
        return self._limits.has_any() or self._cold.has_any()

    def is_limited(self, server: ServerRecord) -> bool:
        """Tell whether the server may get requests at its rate only."""
        return self._rate_per_s(server) is not None

    def is_paced_elsewhere(self, server: ServerRecord) -> bool:
        """Tell whether a server is bound, and paced by another process."""
        return self.is_limited(server) and server.zone != self._zone

    def any_paced_elsewhere(self, servers: Iterable[ServerRecord]) -> bool:
        """Tell whether another process paces any of these servers."""
        return self.has_rate_limits() and any(map(self.is_paced_elsewhere, servers))

    def has_permit(self, server: ServerRecord) -> bool:
        """Tell whether a request may go to the server now, as far as its rate goes."""
        return not self.is_paced_elsewhere(server) and self.permit_in_s(server) <= 0

    def permit_in_s(self, server: ServerRecord) -> float:
        """Return the time until the next request may go to a server; 0: now."""
        rate_per_s = self._rate_per_s(server)
        if rate_per_s is None:
            return 0.0
        pause_s = 1 / rate_per_s
        # The turn of a request is a pause for each of the BURST earlier ones after the first.
        turn_s = self._next_permit_s(server, pause_s) - (self._burst() - 1) * pause_s
        left_s = turn_s - self._clock.now()
        return left_s if left_s > ROUNDING_S else 0.0

    def total_rate_per_s(self, servers: Sequence[ServerRecord]) -> float | None:
        """Return the sum of the rates of servers that are all bound; None: one is not."""
        rates_per_s = [self._rate_per_s(each) for each in servers]
        bound = [each for each in rates_per_s if each is not None]
        return sum(bound) if len(bound) == len(servers) else None

    def effective_slots(self, server: ServerRecord, service_s: float) -> float:
        """Return how many requests, each of which takes `service_s`, the server works on at a time
        as far as its rate goes."""
        rate_per_s = self._rate_per_s(server)
        return server.slots if rate_per_s is None else min(server.slots, rate_per_s * service_s)

    # ---- changes ----

    def consume_permit(self, server: ServerRecord) -> None:
        """Count a request that is about to go to a server."""
        rate_per_s = self._rate_per_s(server)
        if rate_per_s is None:
            self._next_s.pop(server.server_id, None)
            return
        pause_s = 1 / rate_per_s
        from_s = max(self._next_permit_s(server, pause_s), self._clock.now())
        self._next_s[server.server_id] = from_s + pause_s

    def forget(self, server_id: str) -> None:
        """Forget a server that left."""
        self._next_s.pop(server_id, None)

    # ---- parts ----

    def _rate_per_s(self, server: ServerRecord) -> float | None:
        """Return the requests a second that go to a server; None: it is not bound."""
        rate_per_s = self._group_rate_per_s(server)
        return None if rate_per_s is None else rate_per_s * self._spent_share()

    def _spent_share(self) -> float:
        """Return the share of a rate that this process spends as broker."""
        return min(1.0, MAX_BROKERS * self._heard_share())

    def _burst(self) -> int:
        """Return how many requests may go at once; each part of a group has bursts of its own."""
        return BURST if self._spent_share() == 1.0 else 1

    def _group_rate_per_s(self, server: ServerRecord) -> float | None:
        limits = self._limits
        limit_per_s = limits.passed_per_s(server.server_id) if limits.has_any() else None
        cold_per_s = self._cold_per_s(server) if self._cold.has_any() else None
        if limit_per_s is None or cold_per_s is None:
            return cold_per_s if limit_per_s is None else limit_per_s
        return min(limit_per_s, cold_per_s)

    def _cold_per_s(self, server: ServerRecord) -> float | None:
        if self._is_keyed(server.service) or not self._cold.is_cold(server):
            return None
        limit = self._cold.limit_of(server.service)
        assert limit is not None
        return PASSED_SHARE * limit.requests_per_s

    def _next_permit_s(self, server: ServerRecord, pause_s: float) -> float:
        """Return when a request may go after which none has gone for a while.

        A server that is new here may have had requests of another broker: it begins with one. After
        a rise of the rate the next turn is not as far away as at the old one.
        """
        now_s = self._clock.now()
        burst = self._burst()
        known_s = self._next_s.get(server.server_id, now_s + (burst - 1) * pause_s)
        next_s = self._next_s[server.server_id] = min(known_s, now_s + burst * pause_s)
        return next_s
