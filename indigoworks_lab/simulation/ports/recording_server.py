"""The stand-in back end, with its executions and its ownership recorded in true time."""

from random import Random

from result import Result

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendRefused
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.backend.stand_in_server import StandInServer
from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.checkers.history.ownership_span import OwnershipSpan
from indigoworks_lab.simulation.core.host_clock import HostClock
from indigoworks_lab.simulation.workload.recorder import Recorder


class RecordingServer(StandInServer):
    """Records when requests begin and take effect, and from when to when ranges are owned."""

    def __init__(
        self,
        identity: StandInIdentity,
        profile: StandInProfile,
        clock: HostClock,
        random: Random,
        recorder: Recorder,
        run_number: int,
    ) -> None:
        super().__init__(identity, profile, clock, random)
        self.run_number = run_number
        self._host_clock = clock
        self._recorder = recorder
        self._open_spans: list[OwnershipSpan] = []
        self._running: dict[tuple[str, float], Execution] = {}

    def renew(self, renewal: LeaseRenewal) -> Result[BackendStatus, BackendRefused]:
        """Take a renewal, and record what the server owns from now on."""
        answer = super().renew(renewal)
        self._record_ownership()
        return answer

    def end_ownership(self) -> None:
        """Record that the server has ended."""
        now_s = self._recorder.now_s()
        for span in self._open_spans:
            span.to_s = min(span.to_s, now_s)
        self._open_spans = []

    def _record_ownership(self) -> None:
        now_s = self._recorder.now_s()
        lapse_s = self._host_clock.true_time(self._grants.valid_until_s)
        kept: list[OwnershipSpan] = []
        for granted in self._grants.ranges:
            if granted.is_releasing or lapse_s <= now_s:
                continue
            span = self._find_open(granted.start, granted.end, granted.token, now_s)
            if span is None:
                span = self._new_span(granted.start, granted.end, granted.token, now_s)
            span.to_s = lapse_s
            kept.append(span)
        for span in self._open_spans:
            if span not in kept:
                span.to_s = min(span.to_s, now_s)
        self._open_spans = kept

    def _find_open(self, start: int, end: int, token: int, now_s: float) -> OwnershipSpan | None:
        for span in self._open_spans:
            if (span.start, span.end, span.token) == (start, end, token) and span.to_s >= now_s:
                return span
        return None

    def _new_span(self, start: int, end: int, token: int, now_s: float) -> OwnershipSpan:
        span = OwnershipSpan(
            self.identity.service,
            start,
            end,
            self.identity.name,
            self.run_number,
            token,
            now_s,
            now_s,
        )
        self._recorder.history.spans.append(span)
        return span

    async def _run_in_slot(self, request: OwnedRequest) -> BackendResponse:
        execution = Execution(
            request.request_id,
            request.service,
            request.key,
            self.identity.name,
            self.run_number,
            request.token,
            self._recorder.now_s(),
        )
        self._recorder.history.executions.append(execution)
        self._running[(request.request_id, self._clock.now())] = execution
        return await super()._run_in_slot(request)

    def _take_effect(self, request: OwnedRequest, started_s: float) -> BackendResponse:
        answer = super()._take_effect(request, started_s)
        execution = self._running.pop((request.request_id, started_s))
        if not answer.is_wrong_owner:
            execution.effect_s = self._recorder.now_s()
            execution.answer = answer.body
        return answer
