"""Dispatcher of one back end: its slots and the queue of requests waiting for one."""

import asyncio

from result import Err, Ok, Result

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.errors import BackendError, BackendUnreachable
from indigoworks.common.fair_queue import FairQueue
from indigoworks.router import refusals
from indigoworks.router.dispatch_request import DispatchRequest
from indigoworks.router.dispatcher_ports import DispatcherPorts
from indigoworks.router.errors import (
    AnswerLost,
    OwnerUnreachable,
    RouterError,
    ServerShedding,
    WrongOwner,
)
from indigoworks.router.queue_entry import QueueEntry
from indigoworks.router.server_record import ServerRecord
from indigoworks.router.service_time_estimate import ServiceTimeEstimate
from indigoworks.router.slow_start import SlowStart
from indigoworks.settings.resolved_settings import ResolvedSettings

DispatchResult = Result[BackendResponse, RouterError]

MAX_SHED_PAUSE_S = 1.0
"""Upper bound of the pause after a back end has shed a request, whatever its Retry-After."""

MIN_SHED_PAUSE_S = 0.02
"""Lower bound of the pause after a back end has shed a request."""

SHED_LIMIT = 3
"""Number of sheds after which a request is refused instead of queued again."""

WAKE_INTERVAL_S = 0.1
"""Interval at which the queue of a server in slow start is processed without an event."""


class ServerDispatcher:
    """Sends requests to one server process, never more concurrently than it has slots.

    Requests that find no free slot wait in a queue that is weighted-fair across groups. A request
    that cannot be served in time is refused as soon as that is known.
    """

    def __init__(self, server: ServerRecord, ports: DispatcherPorts, slow_start: SlowStart) -> None:
        self.server = server
        self._ports = ports
        self._slow_start = slow_start
        self._queue: FairQueue[QueueEntry] = FairQueue()
        self._service_time = ServiceTimeEstimate(ports.clock)
        self._in_flight = 0
        self._divisor = 1
        self._paused_until_s = float("-inf")
        self._wake_task: asyncio.Task[None] | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return self._in_flight

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued or in flight."""
        return self._in_flight == 0 and not self._queue

    def divide_slots(self, divisor: int) -> None:
        """Use 1 / `divisor` of the slots, at least one: other routers use the same server."""
        self._divisor = max(1, divisor)

    async def submit(
        self, request: DispatchRequest, group: str, limits: ResolvedSettings
    ) -> DispatchResult:
        """Queue the request, send it once a slot is granted, and return the complete response.

        Cancellation removes it from the queue, or closes its connection to the server.
        """
        entry = QueueEntry(group, limits.weight, limits.max_concurrency_per_group)
        queue_until_s = self._ports.clock.now() + limits.max_queue_delay_s
        refusal = self._refusal(entry, request, limits)
        sheds = 0
        while refusal is None:
            refusal = await self._wait_for_slot(entry, request, queue_until_s, sheds > 0)
            if refusal is not None:
                break
            outcome = await self._use_slot(entry, request)
            sheds += 1
            if not self._may_requeue(outcome, sheds):
                return outcome
        return Err(refusal)

    def _may_requeue(self, outcome: DispatchResult, sheds: int) -> bool:
        is_shed = isinstance(outcome, Err) and isinstance(outcome.unwrap_err(), ServerShedding)
        return is_shed and sheds < SHED_LIMIT

    # ---- waiting ----

    def _refusal(
        self, entry: QueueEntry, request: DispatchRequest, limits: ResolvedSettings
    ) -> RouterError | None:
        """Return why the request is refused without queueing, or None if it may be queued."""
        if not self._queue and self._in_flight < self._limit():
            return None
        wait_s = self._estimated_wait_s(entry)
        if self._queue.length_of(entry.group) >= limits.max_queue_length:
            return refusals.queue_full(entry.group, self.server.name, self._jittered(wait_s))
        spare_s = request.deadline_s - self._ports.clock.now() - self._service_time.service_s()
        if wait_s > min(spare_s, limits.max_queue_delay_s):
            return refusals.wait_too_long(self.server.name, self._jittered(wait_s))
        return None

    def _estimated_wait_s(self, entry: QueueEntry) -> float:
        """Estimate how long a new request of the group would wait, from measured service time."""
        slots = self._limit()
        service_s = self._service_time.service_s()
        share = self._queue.share_of(entry.group, entry.weight) * slots
        if entry.concurrency_limit is not None:
            share = min(share, entry.concurrency_limit)
        by_share_s = (self._queue.length_of(entry.group) + 1) * service_s / share
        # Groups borrow unused shares of others: the wait never exceeds that behind the whole queue.
        by_total_s = (len(self._queue) + 1) * service_s / slots
        return self._pause_left_s() + min(by_share_s, by_total_s)

    async def _wait_for_slot(
        self, entry: QueueEntry, request: DispatchRequest, queue_until_s: float, is_first: bool
    ) -> RouterError | None:
        latest_s = min(queue_until_s, request.deadline_s - self._service_time.service_s())
        entry.granted.clear()
        self._queue.push(entry, is_first)
        self._grant_slots()
        if entry.has_slot:
            return None
        try:
            async with asyncio.timeout(max(0.0, latest_s - self._ports.clock.now())):
                await entry.granted.wait()
        except TimeoutError:
            # The slot may have been granted in this event-loop iteration: then it is used.
            if entry.has_slot:
                return None
            self._queue.remove(entry)
            wait_s = self._estimated_wait_s(entry)
            return refusals.wait_too_long(self.server.name, self._jittered(wait_s))
        except asyncio.CancelledError:
            if entry.has_slot:
                self._release_slot(entry, 0.0)
            else:
                self._queue.remove(entry)
            raise
        return None

    def _grant_slots(self) -> None:
        """Grant free slots to the next queued requests."""
        while self._queue and self._in_flight < self._limit() and self._pause_left_s() <= 0:
            entry = self._queue.grant_next(self._service_time.service_s())
            if entry is None:
                break
            self._in_flight += 1
            entry.has_slot = True
            entry.granted.set()
        self._wake_when_needed()

    def _limit(self) -> int:
        slots = max(1, self.server.slots // self._divisor)
        return self._slow_start.limit(self._ports.clock.now(), slots)

    def _pause_left_s(self) -> float:
        return max(0.0, self._paused_until_s - self._ports.clock.now())

    def _wake_when_needed(self) -> None:
        """Start a timer: the end of a pause and a rise of the slow-start limit trigger no event."""
        is_ramping = self._slow_start.is_ramping(self._ports.clock.now())
        if not self._queue or not (is_ramping or self._pause_left_s() > 0):
            return
        if self._wake_task is None or self._wake_task.done():
            self._wake_task = asyncio.ensure_future(self._wake())

    async def _wake(self) -> None:
        while self._queue and (self._pause_left_s() > 0 or self._is_ramping()):
            await self._ports.clock.sleep(min(self._pause_left_s() or WAKE_INTERVAL_S, 1.0))
            self._grant_slots()

    def _is_ramping(self) -> bool:
        return self._slow_start.is_ramping(self._ports.clock.now())

    # ---- sending ----

    async def _use_slot(self, entry: QueueEntry, request: DispatchRequest) -> DispatchResult:
        measurement = self._service_time.start()
        is_served = False
        try:
            outcome = await self._send(request)
            is_served = isinstance(outcome, Ok) or isinstance(outcome.unwrap_err(), AnswerLost)
            return outcome
        finally:
            busy_s = self._service_time.finish(measurement, is_served)
            owned = request.owned
            self._ports.loads.add(owned.service, owned.range_start, busy_s)
            self._release_slot(entry, busy_s)

    def _release_slot(self, entry: QueueEntry, cost_s: float) -> None:
        entry.has_slot = False
        self._in_flight -= 1
        self._queue.release(entry, cost_s)
        self._grant_slots()

    async def _send(self, request: DispatchRequest) -> DispatchResult:
        """Send at most once, in the event-loop iteration that checks the preconditions."""
        refusal = self._send_refusal(request)
        if refusal is not None:
            return Err(refusal)
        remaining_s = request.deadline_s - self._ports.clock.now()
        owned = request.owned.with_remaining(remaining_s)
        result = await self._ports.backends.send(self.server.address, owned)
        outcome = self._outcome(result)
        if self._is_provably_not_run(outcome):
            self._ports.sent.release(owned.request_id)
        return outcome

    def _send_refusal(self, request: DispatchRequest) -> RouterError | None:
        if not self._ports.is_view_in_force():
            return refusals.view_expired()
        if request.deadline_s <= self._ports.clock.now():
            return refusals.deadline_passed()
        if not self._may_send(request):
            return refusals.already_sent(request.owned.request_id)
        return None

    def _may_send(self, request: DispatchRequest) -> bool:
        """Allow only one send of a non-repeatable request id."""
        return request.is_repeatable or self._ports.sent.claim(request.owned.request_id)

    def _is_provably_not_run(self, outcome: DispatchResult) -> bool:
        if isinstance(outcome, Ok):
            return False
        return isinstance(outcome.unwrap_err(), OwnerUnreachable | WrongOwner | ServerShedding)

    def _outcome(self, result: Result[BackendResponse, BackendError]) -> DispatchResult:
        if isinstance(result, Err):
            return Err(self._failure(result.unwrap_err()))
        response = result.unwrap()
        if response.is_wrong_owner:
            return Err(refusals.wrong_owner(self.server.name))
        if response.is_shed:
            return Err(self._shed_by_server(response))
        return Ok(response)

    def _failure(self, error: BackendError) -> RouterError:
        if isinstance(error, BackendUnreachable):
            return refusals.owner_unreachable(self.server.name, self._jittered(0.0))
        return refusals.answer_lost(error.message)

    def _shed_by_server(self, response: BackendResponse) -> ServerShedding:
        pause_s = min(MAX_SHED_PAUSE_S, max(MIN_SHED_PAUSE_S, response.retry_after_s))
        self._paused_until_s = max(self._paused_until_s, self._ports.clock.now() + pause_s)
        wait_s = max(response.retry_after_s, self._service_time.service_s())
        return refusals.server_shedding(self.server.name, self._jittered(wait_s))

    def _jittered(self, wait_s: float) -> float:
        return refusals.jittered_retry_after_s(wait_s, self._ports.random)
