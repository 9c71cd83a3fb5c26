"""Log of the decisions on requests, within the rate limits of the log."""

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.common.logging.line_rate_limiter import LineRateLimiter
from indigoworks.common.logging.log_level import LogLevel
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.request_metrics import RequestMetrics
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import ServerResponse
from indigoworks.gateway.server_stats import ServerStats

SUCCESS = LogLevel.INFO.name
FAILURE = LogLevel.WARNING.name

SERVED = "answered"
"""Result of forwarding a request that a server answered."""

WITHOUT_RESPONSE = ("declined", "not_sent", "no_reply")
"""Results of passing a request to a dispatcher that bring no response for the caller."""

FAILED_STATUS = 500
"""Lowest status that reports a failure of the server."""


class RequestLog:
    """Logs and counts how requests ended, with the reason and the data behind it.

    A line over the limit of `rates` is counted as dropped, and not built.
    """

    def __init__(
        self,
        server_stats: ServerStats,
        metrics: RequestMetrics,
        rates: LineRateLimiter,
        clock: Clock,
    ) -> None:
        self._server_stats = server_stats
        self._metrics = metrics
        self._line_rates = rates
        self._clock = clock

    def answered(self, state: RequestState, response: ServerResponse) -> None:
        """Record that the server's response goes to the caller."""
        elapsed_s = self._elapsed_s(state.request)
        self._metrics.ended(state.service.name, "answered", str(response.status), elapsed_s)
        # Failures and late responses have the higher rate limit.
        is_sound = response.status < FAILED_STATUS and elapsed_s <= state.route.aim_s
        self._write("request:answered", not is_sound, state, status=response.status)

    def refused(self, request: ClientRequest, state: RequestState | None, refusal: Refusal) -> None:
        """Record that the request has not run, and when the caller may retry."""
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
            elapsed_s = round(self._elapsed_s(request), 4)
            self._write_early("request:refused", request, elapsed_s=elapsed_s, **fields)
        else:
            self._write("request:refused", True, state, **fields)

    def no_route(self, request: ClientRequest, version: int) -> None:
        """Record that the configuration in force has no route for the request."""
        self._metrics.ended("", "no_route", "404", self._elapsed_s(request))
        self._write_early(
            "request:no_route",
            request,
            host=request.host,
            path=request.path[:80],
            configuration=version,
        )

    def no_key(self, request: ClientRequest, service: str, version: int) -> None:
        """Record that a request to a keyed service has no key."""
        self._metrics.ended(service, "no_key", "400", self._elapsed_s(request))
        self._write_early("request:no_key", request, service=service, configuration=version)

    def attempted(self, state: RequestState, response: ServerResponse, started_s: float) -> None:
        """Record the duration of an attempt at a server; writes no line."""
        elapsed_s = self._clock.now() - started_s
        self._metrics.attempted(state.service.name, response.result.value, elapsed_s)

    def retried(self, state: RequestState, response: ServerResponse, is_granted: bool) -> None:
        """Record that an attempt failed, and whether the retry budget grants a retry."""
        self._metrics.retried(state.service.name, is_granted)
        self._write(
            "request:repeat" if is_granted else "request:no_repeat",
            True,
            state,
            result=response.result.value,
            status=response.status,
            detail=response.detail,
        )

    def forwarded(self, state: RequestState, peer: str, result: str, reason: str) -> None:
        """Record what came of offering the request to a peer.

        :param reason: why the peer refused or declined it; empty if it did not.
        """
        self._metrics.forwarded(state.service.name, result)
        self._write(
            "request:forwarded", result != SERVED, state, peer=peer, result=result, reason=reason
        )

    def dispatched(self, state: RequestState, peer: str, result: str, reason: str) -> None:
        """Count a request that was passed to its dispatcher; log one that brought no response.

        :param reason: why the dispatcher declined it; empty if it did not.
        """
        self._metrics.dispatched(state.service.name, result)
        if result in WITHOUT_RESPONSE:
            self._write("request:dispatched", True, state, peer=peer, result=result, reason=reason)

    def lost(self, state: RequestState, detail: str) -> None:
        """Record that the response is lost, and that the request may have run."""
        elapsed_s = self._elapsed_s(state.request)
        self._metrics.ended(state.service.name, "lost", detail, elapsed_s)
        self._write("request:lost", True, state, detail=detail)

    def cancelled(self, state: RequestState) -> None:
        """Record that the caller disconnected."""
        elapsed_s = self._elapsed_s(state.request)
        self._metrics.ended(state.service.name, "cancelled", "caller", elapsed_s)
        self._write("request:cancelled", True, state)

    def _elapsed_s(self, request: ClientRequest) -> float:
        return self._clock.now() - request.arrived_s

    def _has_room(self, message_type: str, is_failure: bool) -> bool:
        if self._line_rates.has_room(message_type, is_failure):
            return True
        self._line_rates.record_dropped(message_type)
        return False

    def _write_early(self, message_type: str, request: ClientRequest, **fields: object) -> None:
        """Log a request that the configuration refuses, without the fields of a `RequestState`."""
        if self._has_room(message_type, True):
            log_message(
                message_type=message_type,
                level=FAILURE,
                request_id=request.request_id,
                **fields,
            )

    def _write(
        self, message_type: str, is_failure: bool, state: RequestState, **fields: object
    ) -> None:
        if not self._has_room(message_type, is_failure):
            return
        server = state.tried[-1] if state.tried else None
        log_message(
            message_type=message_type,
            level=FAILURE if is_failure else SUCCESS,
            request_id=state.request.request_id,
            route=state.route.name,
            service=state.service.name,
            key=state.request.key,
            configuration=state.configuration_version,
            servers=state.tried,
            elapsed_s=round(self._elapsed_s(state.request), 4),
            waited_s=round(state.waited_s, 4),
            left_s=round(state.deadline_s - self._clock.now(), 4),
            **{
                "in_flight": None if server is None else self._server_stats.in_flight(server),
                **fields,
            },
        )
