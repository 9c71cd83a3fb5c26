"""Whether a waiting request is expected to be answered in time."""

from dataclasses import dataclass, replace

from indigoworks.common.clock import Clock
from indigoworks.gateway import queue_refusals
from indigoworks.gateway.candidate_load import CandidateLoad
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.owner_lookup import OwnerLookup, OwnerState
from indigoworks.gateway.owner_outages import OwnerOutages
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.retry_schedule import QueueName, RetrySchedule
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord

LoadCache = dict[frozenset[str], CandidateLoad]
"""Loads of the servers of one line, by the servers that are left out: many requests of a line look
at the same ones."""

LOAD_CACHE_S = 0.02
"""The load of all servers of a service is counted anew so often. With 20 servers and a queue, which
stays as it is for so long, counting for each request took half of a broker's time."""


@dataclass(frozen=True, slots=True)
class _CachedLoad:
    load: CandidateLoad
    until_s: float


class AdmissionControl:
    """Expects by the requests in flight, those that go before, and the measured time of one."""

    def __init__(
        self,
        selector: ServerSelector,
        owners: OwnerLookup,
        outages: OwnerOutages,
        server_stats: ServerStats,
        capacity: CapacityTracker,
        clock: Clock,
    ) -> None:
        self._selector = selector
        self._owners = owners
        self._owner_outages = outages
        self._server_stats = server_stats
        self._capacity = capacity
        self._clock = clock
        self._cached_loads: dict[tuple[str, frozenset[str]], _CachedLoad] = {}
        self._retry_schedule = RetrySchedule(clock)

    def invalidate_loads(self) -> None:
        """Count all loads anew: the servers are others, or may not be used now."""
        self._cached_loads.clear()

    def ready_owner(self, entry: WaitingRequest) -> ServerRecord | None:
        """Return the server that a request by key may go to now."""
        if entry.key is None:
            return None
        owner = self._owners.find(entry.service, entry.key)
        return owner.server if owner.state is OwnerState.READY else None

    def refusal_if_late(
        self, entry: WaitingRequest, ahead: int, loads: LoadCache
    ) -> Refusal | None:
        """Return a refusal of a request before which `ahead` others go, if that is too long for it.

        :param loads: what is known of its line already; is added to.
        """
        load = loads.get(entry.tried) or self._load(entry)
        if load is None:
            return self._refusal_without_server(entry)
        loads[entry.tried] = load
        ahead += self._scheduled_before(entry, load, ahead)
        if self._clock.now() + load.wait_s(ahead) + load.min_service_time_s <= entry.limit_s:
            return None
        return self._overload(entry, load, ahead)

    def refusal_without_owner(self, entry: WaitingRequest) -> Refusal | None:
        """Return a refusal where the key is not likely to be served again in time; None: it is."""
        return self._owner_outages.refusal_if_late(entry)

    def timeout_refusal(self, entry: WaitingRequest) -> Refusal:
        """Return why a request whose time is up gets no place."""
        servers = self._servers(entry)
        if entry.key is not None and (entry.queue is None or not servers):
            return self._owner_outages.refusal(entry)
        if entry.queue is None or not servers:
            return self._refusal_without_server(entry)
        cost_s = self._server_stats.mean_service_time_s(entry.service)
        ahead = entry.queue.count_before_last(entry, cost_s)
        load = CandidateLoad.of(servers, self._server_stats, self._capacity)
        return self._overload(entry, load, ahead)

    def claim_scheduled_retry(self, entry: WaitingRequest) -> bool:
        """Tell whether a request comes at a turn that its caller was promised."""
        owner = self.ready_owner(entry)
        name = (entry.service, None if owner is None else owner.server_id)
        return entry.caller_mark != 0 and self._retry_schedule.claim(name, entry.caller_mark)

    def cancel_scheduled_retry(self, entry: WaitingRequest) -> None:
        """Take note that a request has got a place: its caller needs no later turn."""
        if entry.caller_mark:
            self._retry_schedule.cancel((entry.service, entry.owner_id or None), entry.caller_mark)

    def is_retry_due(self, service: str, caller_mark: int) -> bool:
        """Tell whether it is the turn of a caller at servers without keys."""
        return self._retry_schedule.is_due((service, None), caller_mark)

    def reserved_for_s(self, name: QueueName, servers: list[ServerRecord]) -> float:
        """Return for how long the next turn at the servers of a line is kept for callers who were
        promised it; 0: it is not, or their rate does not bind them all."""
        rate_per_s = self._capacity.total_rate_per_s(servers)
        if not rate_per_s:
            return 0.0
        return self._retry_schedule.reserved_for_s(name, 1 / rate_per_s)

    def schedule_length_s(self, service: str) -> float:
        """Return the time until the last turn that is promised at servers without keys."""
        return self._retry_schedule.length_s((service, None))

    def _scheduled_before(self, entry: WaitingRequest, load: CandidateLoad, ahead: int) -> int:
        """Return the promised turns that come before that of a request."""
        if load.rate_per_s is None or entry.is_scheduled_retry:
            return 0
        until_s = load.wait_s(ahead) + 1 / load.rate_per_s
        return self._retry_schedule.count_within((entry.service, entry.owner_id or None), until_s)

    def _overload(self, entry: WaitingRequest, load: CandidateLoad, ahead: int) -> Refusal:
        refusal = queue_refusals.overload(entry.owner_id, load, ahead)
        if load.rate_per_s is None or not entry.caller_mark:
            return refusal
        name = (entry.service, entry.owner_id or None)
        earliest_s = refusal.retry_after_s
        turn_s = self._retry_schedule.schedule(name, entry.caller_mark, load.rate_per_s, earliest_s)
        return replace(refusal, retry_after_s=turn_s)

    def _refusal_without_server(self, entry: WaitingRequest) -> Refusal:
        if self._selector.has_paced_elsewhere(entry.service):
            return queue_refusals.paced_by_broker("")
        left_s = self._selector.rest_left_s(entry.service)
        return queue_refusals.resting("", left_s) if left_s else queue_refusals.no_server()

    def _load(self, entry: WaitingRequest) -> CandidateLoad | None:
        """Return the load of the servers that a request may go to; None: there is none."""
        now_s = self._clock.now()
        name = (entry.service, entry.tried)
        kept = self._cached_loads.get(name) if entry.key is None else None
        if kept is not None and now_s < kept.until_s:
            return kept.load
        servers = self._servers(entry)
        if not servers:
            return None
        load = CandidateLoad.of(servers, self._server_stats, self._capacity)
        if entry.key is None and not entry.tried:
            self._cached_loads[name] = _CachedLoad(load, now_s + LOAD_CACHE_S)
        return load

    def _servers(self, entry: WaitingRequest) -> list[ServerRecord]:
        if entry.key is not None:
            owner = self.ready_owner(entry)
            return [] if owner is None else [owner]
        usable = self._selector.usable(entry.service)
        return [each for each in usable if each.server_id not in entry.tried]
