"""Metrics and log messages of a router's requests."""

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.common.logging.log_level import LogLevel
from indigoworks.common.logging.log_threshold import LOG_THRESHOLD
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import CallerResponse
from indigoworks.router.dispatcher_pool import DispatcherPool
from indigoworks.router.metrics import OUTCOME_CANCELLED, RouterMetrics
from indigoworks.router.view_follower import ViewFollower
from indigoworks.settings.settings_tree import DEFAULT_GROUP

_NO_NAME = "-"
"""Metric label of service and group if the service is unknown or there is no view."""


class RouterObserver:
    """Records the requests of a router, and exports gauges of its view and dispatchers."""

    def __init__(
        self, metrics: RouterMetrics, follower: ViewFollower, pool: DispatcherPool, clock: Clock
    ) -> None:
        self._metrics = metrics
        self._follower = follower
        self._pool = pool
        self._clock = clock
        self._add_gauges()

    def record_response(
        self, request: CallerRequest, response: CallerResponse, started_s: float
    ) -> None:
        """Record the response to a request that was received at `started_s`."""
        error_kind = "" if response.error is None else response.error.kind
        self._record(request, response.outcome.value, error_kind, started_s)

    def record_cancelled(self, request: CallerRequest, started_s: float) -> None:
        """Record that the caller disconnected."""
        self._record(request, OUTCOME_CANCELLED, "", started_s)

    def _record(
        self, request: CallerRequest, outcome: str, error_kind: str, started_s: float
    ) -> None:
        duration_s = self._clock.now() - started_s
        service, group = self._labels(request)
        self._metrics.observe(service, group, outcome, error_kind, duration_s)
        if LOG_THRESHOLD.passes(LogLevel.DEBUG):
            self._log(request, outcome, error_kind, duration_s)

    def _log(
        self, request: CallerRequest, outcome: str, error_kind: str, duration_s: float
    ) -> None:
        log_message(
            message_type="router:request",
            level=LogLevel.DEBUG.name,
            request_id=request.request_id,
            service=request.service,
            group=request.group,
            outcome=outcome,
            error=error_kind,
            duration_s=round(duration_s, 6),
        )

    def _labels(self, request: CallerRequest) -> tuple[str, str]:
        """Return the metric labels; names invented by callers must not create time series.

        An unknown group of a known service is counted as DEFAULT_GROUP.
        """
        view = self._follower.latest
        if view is None or view.settings.resolve(request.service) is None:
            return _NO_NAME, _NO_NAME
        return request.service, request.group if request.group in view.groups else DEFAULT_GROUP

    def _add_gauges(self) -> None:
        watch = self._metrics.watch
        watch("queue_length", "Requests that wait for a slot.", self._queue_length)
        watch("in_flight", "Requests sent to back ends and not answered.", self._in_flight)
        watch("view_version", "Version of the view.", self._view_version)
        watch("settings_version", "Version of the settings in force.", self._settings_version)
        watch(
            "view_lease_remaining_seconds",
            "Time for which the view may be used.",
            self._follower.lease_remaining_s,
        )

    def _queue_length(self) -> float:
        return sum(dispatcher.queue_length for dispatcher in self._pool)

    def _in_flight(self) -> float:
        return sum(dispatcher.in_flight for dispatcher in self._pool)

    def _view_version(self) -> float:
        view = self._follower.latest
        return 0 if view is None else view.version

    def _settings_version(self) -> float:
        view = self._follower.latest
        return 0 if view is None else view.settings_version
