"""One line for each decision on a request."""

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.flow_state import FlowState
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.request_metrics import RequestMetrics
from indigoworks.gateway.server_answer import ServerAnswer
from indigoworks.gateway.server_board import ServerBoard


class RequestLog:
    """Writes how requests ended, why, and on which knowledge; counts them by the way."""

    def __init__(self, board: ServerBoard, metrics: RequestMetrics, clock: Clock) -> None:
        self._board = board
        self._metrics = metrics
        self._clock = clock

    def answered(self, state: FlowState, answer: ServerAnswer) -> None:
        """The server's answer goes to the caller."""
        elapsed_s = self._elapsed_s(state.request)
        self._metrics.ended(state.service.name, "answered", str(answer.status), elapsed_s)
        self._write("request:answered", "INFO", state, status=answer.status)

    def refused(self, request: ClientRequest, state: FlowState | None, refusal: Refusal) -> None:
        """The request has not run; the caller is told when to come back."""
        service = "" if state is None else state.service.name
        self._metrics.ended(service, "refused", refusal.reason.value, self._elapsed_s(request))
        fields: dict[str, object] = {
            "reason": refusal.reason.value,
            "retry_after_s": round(refusal.retry_after_s, 3),
            "server": refusal.server_id,
            "in_flight": refusal.in_flight,
            "expected_s": round(refusal.expected_s, 3),
        }
        if state is None:
            log_message(
                message_type="request:refused",
                level="WARNING",
                request_id=request.request_id,
                elapsed_s=round(self._elapsed_s(request), 4),
                **fields,
            )
        else:
            self._write("request:refused", "WARNING", state, **fields)

    def no_route(self, request: ClientRequest, version: int) -> None:
        """No route of the configuration in force takes the request."""
        self._metrics.ended("", "no_route", "404", self._elapsed_s(request))
        log_message(
            message_type="request:no_route",
            level="WARNING",
            request_id=request.request_id,
            host=request.host,
            path=request.path[:80],
            configuration=version,
        )

    def repeated(self, state: FlowState, answer: ServerAnswer, is_granted: bool) -> None:
        """An attempt did not serve the request; the budget allows a repeat, or does not."""
        self._metrics.repeated(state.service.name, is_granted)
        self._write(
            "request:repeat" if is_granted else "request:no_repeat",
            "WARNING",
            state,
            result=answer.result.value,
            status=answer.status,
            detail=answer.detail,
        )

    def lost(self, state: FlowState, detail: str) -> None:
        """The request may have run, and its answer is lost."""
        elapsed_s = self._elapsed_s(state.request)
        self._metrics.ended(state.service.name, "lost", detail, elapsed_s)
        self._write("request:lost", "WARNING", state, detail=detail)

    def cancelled(self, state: FlowState) -> None:
        """The caller went away."""
        elapsed_s = self._elapsed_s(state.request)
        self._metrics.ended(state.service.name, "cancelled", "caller", elapsed_s)
        self._write("request:cancelled", "INFO", state)

    def _elapsed_s(self, request: ClientRequest) -> float:
        return self._clock.now() - request.arrived_s

    def _write(self, message_type: str, level: str, state: FlowState, **fields: object) -> None:
        server = state.tried[-1] if state.tried else None
        log_message(
            message_type=message_type,
            level=level,
            request_id=state.request.request_id,
            route=state.route.name,
            service=state.service.name,
            key=state.request.key,
            configuration=state.configuration_version,
            servers=state.tried,
            elapsed_s=round(self._elapsed_s(state.request), 4),
            left_s=round(state.deadline_s - self._clock.now(), 4),
            **{"in_flight": None if server is None else self._board.in_flight(server), **fields},
        )
