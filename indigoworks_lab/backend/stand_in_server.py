"""A stand-in back end without its HTTP shell."""

import asyncio
from collections.abc import Callable
from random import Random

from result import Err, Ok, Result

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendRefused
from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.clock import Clock
from indigoworks.common.ring.key_hash import key_hash
from indigoworks_lab.backend import stand_in_answers as answers
from indigoworks_lab.backend.answer_fate import AnswerFate
from indigoworks_lab.backend.execution_history import ExecutionHistory
from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.execution_record import ExecutionRecord
from indigoworks_lab.backend.freeze_gate import FreezeGate
from indigoworks_lab.backend.grant_book import GrantBook
from indigoworks_lab.backend.key_value_store import KeyValueStore
from indigoworks_lab.backend.probe_report import ProbeReport
from indigoworks_lab.backend.probe_view import ProbeView
from indigoworks_lab.backend.service_time import ServiceTime
from indigoworks_lab.backend.slots import Slots
from indigoworks_lab.backend.stand_in_faults import StandInFaults
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile


class StandInServer:
    """One run of one server: lease, fenced grants, slots, state of keys, faults.

    Uses only the injected clock and random numbers, so it runs on virtual time.

    :ivar on_end: ends the process at once, with all that it has in hand.
    """

    def __init__(
        self, identity: StandInIdentity, profile: StandInProfile, clock: Clock, random: Random
    ) -> None:
        self.identity = identity
        self.profile = profile
        self.faults = StandInFaults()
        self.history = ExecutionHistory()
        self.freeze_gate = FreezeGate(clock)
        self.is_draining = False
        self.on_end: Callable[[], None] = _go_on
        self._clock = clock
        self._random = random
        self._grants = GrantBook(identity.incarnation)
        self._slots = Slots(profile.slots)
        self._probes = ProbeView(clock, self._slots, profile.probe_lag_s)
        self._service_time = ServiceTime(profile, random)
        self._store = KeyValueStore()
        self._running_places: list[int] = []
        self._runs: set[asyncio.Task[BackendResponse]] = set()

    def status(self) -> BackendStatus:
        """Return the status, with a reading of the server's clock taken now."""
        return BackendStatus(
            name=self.identity.name,
            incarnation=self.identity.incarnation,
            service=self.identity.service,
            zone=self.identity.zone,
            slots=self.profile.slots,
            connections=self.profile.connections,
            clock_s=self._clock.now(),
            generation=self._grants.generation,
            grants_version=self._grants.grants_version,
            released=self._released(),
            is_draining=self.is_draining,
        )

    def renew(self, renewal: LeaseRenewal) -> Result[BackendStatus, BackendRefused]:
        """Take a renewal and return the status after it, or refuse it."""
        taken = self._grants.renew(renewal)
        if taken.is_err():
            return Err(taken.unwrap_err())
        return Ok(self.status())

    def drain(self) -> None:
        """Tell, in every status from now on, that the server wants no new work."""
        self.is_draining = True

    @property
    def is_empty(self) -> bool:
        """Tell whether the server may end: no valid grant is left and nothing runs."""
        is_owner = bool(self._grants.ranges) and self._grants.has_lease(self._clock.now())
        return not is_owner and self.running == 0

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return len(self._running_places)

    async def execute(self, request: OwnedRequest) -> BackendResponse:
        """Run one request, or answer why it was not run.

        Cancelling the call stops a request that has no slot yet; one that has runs to its end.
        """
        await self.freeze_gate.wait()
        deadline_s = self._clock.now() + request.remaining_s
        if self._is_fenced(request):
            return self._not_run(request, ExecutionOutcome.FENCED)
        if self._is_queue_full():
            return self._not_run(request, ExecutionOutcome.SHED)
        await self._wait_for_slot(request)
        run = asyncio.ensure_future(self._run(request, deadline_s))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        return await asyncio.shield(run)

    async def probe(self) -> ProbeReport:
        """Answer a probe, which holds a slot for a while."""
        await self.freeze_gate.wait()
        await self._slots.acquire()
        try:
            await self._clock.sleep(self.profile.probe_cost_s)
        finally:
            self._slots.release()
        return self._probes.report(self.faults, self.is_draining)

    def draw_answer_fate(self) -> AnswerFate:
        """Decide by the faults in force how much of the next answer is sent."""
        drawn = self._random.random()
        if drawn < self.faults.lose_answers_ratio:
            return AnswerFate.LOST
        if drawn < self.faults.lose_answers_ratio + self.faults.cut_answers_ratio:
            return AnswerFate.CUT
        return AnswerFate.WHOLE

    def shed(self, request: OwnedRequest) -> BackendResponse:
        """Refuse a request for load without looking at it."""
        return self._not_run(request, ExecutionOutcome.SHED)

    async def _wait_for_slot(self, request: OwnedRequest) -> None:
        try:
            await self._slots.acquire()
        except asyncio.CancelledError:
            self._record(request, self._clock.now(), ExecutionOutcome.CANCELLED)
            raise

    async def _run(self, request: OwnedRequest, deadline_s: float) -> BackendResponse:
        try:
            await self.freeze_gate.wait()
            if self._clock.now() >= deadline_s:
                return self._not_run(request, ExecutionOutcome.EXPIRED)
            # The grant may have gone while the request waited in the queue.
            if self._is_fenced(request):
                return self._not_run(request, ExecutionOutcome.FENCED)
            return await self._run_in_slot(request)
        finally:
            self._slots.release()

    async def _run_in_slot(self, request: OwnedRequest) -> BackendResponse:
        started_s = self._clock.now()
        if self.faults.ends_under and self.faults.ends_under in request.path:
            self._record(request, started_s, ExecutionOutcome.ENDED_SERVER)
            self.on_end()
        place = key_hash(request.key)
        # From here on the range is not reported as released until this request has ended.
        self._running_places.append(place)
        try:
            await self._clock.sleep(self._service_time.draw_s(self.faults.slow_factor))
            await self.freeze_gate.wait()
            return self._take_effect(request, started_s)
        finally:
            self._running_places.remove(place)

    def _take_effect(self, request: OwnedRequest, started_s: float) -> BackendResponse:
        # Check and effect are one step: a server that slept past its lease changes nothing.
        if self._is_fenced(request, is_running=True):
            self._record(request, started_s, ExecutionOutcome.FENCED)
            return answers.wrong_owner(request)
        state = self._store.apply(request.method, request.key, request.body, request.request_id)
        self._record(request, started_s, ExecutionOutcome.APPLIED)
        return answers.completed(self.identity, request, state)

    def _is_fenced(self, request: OwnedRequest, is_running: bool = False) -> bool:
        if request.server_incarnation != self.identity.incarnation:
            return True
        if request.service != self.identity.service:
            return True
        if not self.faults.forgets_lease_check and not self._grants.has_lease(self._clock.now()):
            return True
        if self.faults.forgets_token_check:
            return False
        granted = self._grants.find(key_hash(request.key))
        if granted is None or granted.token != request.token:
            return True
        return granted.is_releasing and not is_running

    def _is_queue_full(self) -> bool:
        has_free_slot = self._slots.busy < self.profile.slots
        return not has_free_slot and self._slots.queue_length >= self.profile.queue_limit

    def _released(self) -> tuple[GrantedRange, ...]:
        return tuple(
            granted
            for granted in self._grants.ranges
            if granted.is_releasing and not self._runs_within(granted)
        )

    def _runs_within(self, granted: GrantedRange) -> bool:
        if self.faults.releases_while_running:
            return False
        return any(granted.start <= place <= granted.end for place in self._running_places)

    def _not_run(self, request: OwnedRequest, outcome: ExecutionOutcome) -> BackendResponse:
        self._record(request, self._clock.now(), outcome)
        if outcome is ExecutionOutcome.FENCED:
            return answers.wrong_owner(request)
        return answers.shed(request, self.profile.shed_retry_after_s, outcome)

    def _record(self, request: OwnedRequest, started_s: float, outcome: ExecutionOutcome) -> None:
        self.history.add(
            ExecutionRecord(
                request_id=request.request_id,
                server=self.identity.name,
                incarnation=self.identity.incarnation,
                service=request.service,
                key=request.key,
                method=request.method,
                token=request.token,
                started_s=started_s,
                ended_s=self._clock.now(),
                outcome=outcome,
            )
        )


def _go_on() -> None:
    """Stand in until the process has said how it ends."""
