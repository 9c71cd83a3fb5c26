"""Selects the server of a request that any server of its service may run."""

from collections.abc import Callable, Sequence
from random import Random

from indigoworks.gateway import queue_refusals
from indigoworks.gateway.connected_servers import prefer_connected
from indigoworks.gateway.home_assignment import NO_SLOTS
from indigoworks.gateway.load_estimate import HOLD_FACTOR, HOLD_PROBABILITY, OVERFLOW_FACTOR
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.outliers.outlier_detector import OutlierDetector
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

OTHER_ZONE_FACTOR = 1.7
"""Factor on the expected time at servers of other zones: traffic between zones costs, and so does
waiting for busy servers of the own zone (docs/deciding-under-load.md)."""


class ServerSelector:
    """Selects the server with the least expected response time.

    The estimate uses requests in flight and measured service times. The loads that other gateways
    report are up to 0.4 s old and the same for all, so all would choose the same server and
    overload it. Therefore each gateway prefers the slots assigned to it, which others use less
    often, then the servers whose slots are most probably free (`load_estimate`). In a large group
    without an assignment a server is drawn at random, weighted by the work that it can accept now.

    :param outliers: servers that fail and are to be spared; None: none is.
    :param home: returns the slots assigned to this gateway, by server; empty: none are assigned.
    :param is_large_group: returns whether there are so many gateways that their reports are old.
    """

    def __init__(
        self,
        servers: ServerSource,
        server_stats: ServerStats,
        rate_limiter: ServerRateLimiter,
        zone: str,
        random: Random,
        is_large_group: Callable[[], bool] = lambda: False,
        outliers: OutlierDetector | None = None,
        home: Callable[[str], dict[str, float]] = lambda service: NO_SLOTS,
    ) -> None:
        self._servers = servers
        self._server_stats = server_stats
        self._rate_limiter = rate_limiter
        self._zone = zone
        self._random = random
        self._is_large_group = is_large_group
        self._outliers = outliers
        self._home = home

    def usable(self, service: str) -> list[ServerRecord]:
        """Return the servers that may get requests from here: reachable, not resting, and not
        rate-limited by another gateway."""
        usable = list(self._servers.usable(service))
        if self._servers.has_resting():
            usable = self._without_resting(usable)
        if self._server_stats.down.has_any() or self._rate_limiter.has_rate_limits():
            usable = [each for each in usable if self._is_usable(each)]
        return usable if self._outliers is None else self._outliers.without_ejected(usable)

    def candidates(self, entry: WaitingRequest, free: list[ServerRecord]) -> list[ServerRecord]:
        """Return the servers among which one is selected for a request without a key.

        :param free: usable servers with capacity.
        """
        trial = self._trial(entry)
        if trial is not None:
            return [trial]
        return [each for each in free if each.server_id not in entry.tried]

    def _trial(self, entry: WaitingRequest) -> ServerRecord | None:
        """Return an ejected server that a request without a key is to try, or None."""
        outliers = self._outliers
        if outliers is None or not outliers.has_any() or not entry.is_repeatable:
            return None
        usable = self._servers.usable(entry.service)
        resting = self._servers.rest_left_s
        candidates = [
            each
            for each in usable
            if outliers.is_ejected(each.server_id)
            and each.server_id not in entry.tried
            and self._is_usable(each)
            and not resting(each.server_id)
        ]
        return outliers.trial(candidates)

    def refusal_of_owner(self, entry: WaitingRequest, owner: ServerRecord) -> Refusal | None:
        """Return the refusal of a request for a key whose owner is ejected, or rate-limited by
        another process; None if it may be placed there."""
        if self._rate_limiter.has_rate_limits() and self._rate_limiter.is_paced_elsewhere(owner):
            return queue_refusals.paced_by_broker(owner.server_id)
        outliers = self._outliers
        if outliers is None or not outliers.refuses(owner, entry.is_repeatable):
            return None
        return queue_refusals.failing(owner.server_id, outliers.retry_after_s(owner.server_id))

    def rest_left_s(self, service: str) -> float:
        """Return the seconds until the first server ends its rest if all of them rest, else 0."""
        if not self._servers.has_resting():
            return 0.0
        usable = self._servers.usable(service)
        return min((self._servers.rest_left_s(each.server_id) for each in usable), default=0.0)

    def has_paced_elsewhere(self, service: str) -> bool:
        """Return whether a server of the service is rate-limited by another process."""
        return self._rate_limiter.any_paced_elsewhere(self._servers.usable(service))

    def _without_resting(self, usable: list[ServerRecord]) -> list[ServerRecord]:
        """Return the servers that have not asked this process for a rest.

        Those that asked several other gateways are left out too if others remain: a request that
        a server rejects uses up a retry.
        """
        awake = [each for each in usable if not self._servers.rest_left_s(each.server_id)]
        spared = self._servers.rest_left_s_for_many
        return [each for each in awake if not spared(each.server_id)] or awake

    def _is_usable(self, server: ServerRecord) -> bool:
        if self._server_stats.down.is_down(server.server_id):
            return False
        return not self._rate_limiter.is_paced_elsewhere(server)

    def select(self, servers: list[ServerRecord], connected: Sequence[int] = ()) -> ServerRecord:
        """Return the server with the least expected time, or one drawn among those with a free
        slot; `servers` must not be empty.

        :param connected: see `prefer_connected`.
        """
        if self._is_large_group() and not self._home(servers[0].service):
            drawn = self._draw(servers)
            if drawn is not None:
                return drawn
        best = self._least_cost(servers)
        return prefer_connected(best, servers, connected, self._server_stats.service_time_s)

    def _draw(self, servers: list[ServerRecord]) -> ServerRecord | None:
        """Draw a server with a free slot, preferably of the own zone; None if no slot is free."""
        free = [each for each in servers if self._free_slots(each) > 0]
        near = [each for each in free if each.zone == self._zone]
        candidates = near or free
        if not candidates:
            return None
        weights = [self._weight(each) for each in candidates]
        return self._random.choices(candidates, weights)[0]

    def _weight(self, server: ServerRecord) -> float:
        """Return the requests a second that the server's free slots can serve."""
        return self._free_slots(server) / self._server_stats.service_time_s(server)

    def _free_slots(self, server: ServerRecord) -> int:
        return max(0, server.slots - self._server_stats.in_flight(server.server_id))

    def hold_s(self, server: ServerRecord) -> float:
        """Return for how long a request may be held since all slots of the best server are probably
        taken; 0: it is to be sent.

        It is held only while a request of this gateway runs whose end frees a slot.
        """
        home = self._home(server.service)
        if not home or not any(map(self._server_stats.own_in_flight_at, home)):
            return 0.0
        age_s = self._server_stats.report_age_s()
        if self._server_stats.busy_probability(server, age_s) <= HOLD_PROBABILITY:
            return 0.0
        return HOLD_FACTOR * self._server_stats.mean_service_time_s(server.service)

    def _least_cost(self, servers: list[ServerRecord]) -> ServerRecord:
        """Return the server with the least cost; slots of other gateways cost more."""
        service = servers[0].service
        home = self._home(service)
        age_s = self._server_stats.report_age_s()
        overflow_s = OVERFLOW_FACTOR * self._server_stats.mean_service_time_s(service)

        def cost(server: ServerRecord) -> tuple[float, float]:
            cost_s = self._server_stats.cost_s(server, age_s)
            if home and not self._has_home_slot(server, home):
                cost_s += overflow_s
            if server.zone != self._zone:
                cost_s *= OTHER_ZONE_FACTOR
            return cost_s, self._random.random()

        return min(servers, key=cost)

    def _has_home_slot(self, server: ServerRecord, home: dict[str, float]) -> bool:
        own = self._server_stats.own_in_flight_at(server.server_id)
        return own < home.get(server.server_id, 0.0)
