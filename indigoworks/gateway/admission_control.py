"""Decides whether a waiting request is likely to be answered in time."""

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
"""Loads of the servers of one queue, by the servers that are excluded. Shared while a queue is
reviewed: many of its requests have the same candidates."""

LOAD_CACHE_S = 0.02
"""Time for which the load of all servers of a service is cached. With 20 servers and a queue,
computing it for each request took half of a broker's CPU time."""


@dataclass(frozen=True, slots=True)
class _CachedLoad:
    load: CandidateLoad
    until_s: float


class AdmissionControl:
    """Refuses requests that are expected to be answered too late.

    Estimates from the requests in flight, those ahead in the queue, and measured service times.
    """

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
        """Drop cached loads: the servers or their usability changed."""
        self._cached_loads.clear()

    def ready_owner(self, entry: WaitingRequest) -> ServerRecord | None:
        """Return the owner of the request's key if it can serve the request now, else None."""
        if entry.key is None:
            return None
        owner = self._owners.find(entry.service, entry.key)
        return owner.server if owner.state is OwnerState.READY else None

    def refusal_if_late(
        self, entry: WaitingRequest, ahead: int, loads: LoadCache
    ) -> Refusal | None:
        """Return a refusal if a request with `ahead` others before it would be answered too late.

        :param loads: loads computed so far for the same queue; extended by this call.
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
        """Return a refusal if the key is unlikely to have a ready owner in time, else None."""
        return self._owner_outages.refusal_if_late(entry)

    def timeout_refusal(self, entry: WaitingRequest) -> Refusal:
        """Return the refusal of a request that waited up to its time limit."""
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
        """Return whether a request is a due scheduled retry; a due one is used up by this."""
        owner = self.ready_owner(entry)
        name = (entry.service, None if owner is None else owner.server_id)
        return entry.caller_mark != 0 and self._retry_schedule.claim(name, entry.caller_mark)

    def cancel_scheduled_retry(self, entry: WaitingRequest) -> None:
        """Cancel the scheduled retry of a caller whose request has been placed."""
        if entry.caller_mark:
            self._retry_schedule.cancel((entry.service, entry.owner_id or None), entry.caller_mark)

    def is_retry_due(self, service: str, caller_mark: int) -> bool:
        """Return whether the scheduled retry of a caller of an unkeyed service is due."""
        return self._retry_schedule.is_due((service, None), caller_mark)

    def reserved_for_s(self, name: QueueName, servers: list[ServerRecord]) -> float:
        """Return for how long the next permit of the servers of a queue is reserved for a scheduled
        retry; 0 if it is not, or if some of the servers have no rate limit."""
        rate_per_s = self._capacity.total_rate_per_s(servers)
        if not rate_per_s:
            return 0.0
        return self._retry_schedule.reserved_for_s(name, 1 / rate_per_s)

    def schedule_length_s(self, service: str) -> float:
        """Return the time until the last scheduled retry of an unkeyed service."""
        return self._retry_schedule.length_s((service, None))

    def _scheduled_before(self, entry: WaitingRequest, load: CandidateLoad, ahead: int) -> int:
        """Return the number of scheduled retries that go before a request."""
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
        retry_after_s = self._retry_schedule.schedule(
            name, entry.caller_mark, load.rate_per_s, earliest_s
        )
        return replace(refusal, retry_after_s=retry_after_s)

    def _refusal_without_server(self, entry: WaitingRequest) -> Refusal:
        if self._selector.has_paced_elsewhere(entry.service):
            return queue_refusals.paced_by_broker("")
        left_s = self._selector.rest_left_s(entry.service)
        return queue_refusals.resting("", left_s) if left_s else queue_refusals.no_server()

    def _load(self, entry: WaitingRequest) -> CandidateLoad | None:
        """Return the load of the servers that a request may go to; None if there is no server."""
        now_s = self._clock.now()
        name = (entry.service, entry.tried)
        cached = self._cached_loads.get(name) if entry.key is None else None
        if cached is not None and now_s < cached.until_s:
            return cached.load
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
