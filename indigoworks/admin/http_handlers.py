"""Tornado handlers of the administration API, metrics and health."""

import json
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from tornado.web import RequestHandler

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_response import AdminResponse
from indigoworks.admin.administration import Administration
from indigoworks.admin.error_response import error_response
from indigoworks.admin.errors import AdminError
from indigoworks.admin.health_report import HealthReport

JSON_CONTENT_TYPE = "application/json; charset=utf-8"
HEALTH_RETRY_AFTER_S = 1

HealthSource = Callable[[], HealthReport]
HandlerRule = tuple[str, type[RequestHandler], dict[str, Any]]


class AdminHandler(RequestHandler):
    """Passes requests for /admin/v1/... to an Administration."""

    def initialize(self, administration: Administration) -> None:
        """Set the Administration that handles requests."""
        self._administration = administration

    async def prepare(self) -> None:
        """Respond to every HTTP method: the Administration refuses unsupported ones."""
        request = self.request
        call = AdminCall(request.method or "", self._path(), request.body)
        self._write_response(await self._administration.handle(call))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond to an unexpected exception with a JSON error."""
        error = AdminError("The process failed on this request.", "See the log of that process.")
        response = error_response(error)
        self._write_response(AdminResponse(status_code, response.body))

    def _path(self) -> str:
        """Return path and query, with If-Match as the parameter expected_version."""
        path = self.request.uri or ""
        condition = self.request.headers.get("If-Match")
        if condition is None:
            return path
        version = condition.strip().removeprefix("W/").strip('"')
        return f"{path}{'&' if '?' in path else '?'}expected_version={quote(version, safe='')}"

    def _write_response(self, response: AdminResponse) -> None:
        self.set_status(response.status)
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        if response.retry_after_s > 0:
            self.set_header("Retry-After", str(math.ceil(response.retry_after_s)))
        self.finish(response.body)


class MetricsHandler(RequestHandler):
    """Serves metrics in the text format of Prometheus."""

    def initialize(self, registry: CollectorRegistry) -> None:
        """Set the registry to read."""
        self._registry = registry

    def get(self) -> None:
        """Respond with the metrics."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self._registry))


class HealthHandler(RequestHandler):
    """Responds 200 while the process serves, otherwise 503 with the reason."""

    def initialize(self, health: HealthSource) -> None:
        """Set the source of the report."""
        self._health = health

    def get(self) -> None:
        """Respond with the report."""
        report = self._health()
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        if not report.is_serving:
            self.set_status(503)
            self.set_header("Retry-After", str(HEALTH_RETRY_AFTER_S))
        self.finish(json.dumps({"is_serving": report.is_serving, "reason": report.reason}))


def admin_http_handlers(
    administration: Administration, registry: CollectorRegistry, health: HealthSource
) -> list[HandlerRule]:
    """Return the rules for /admin/v1/..., /metrics and /health."""
    return [
        (r"/admin/v1(?:/.*)?", AdminHandler, {"administration": administration}),
        (r"/metrics", MetricsHandler, {"registry": registry}),
        (r"/health", HealthHandler, {"health": health}),
    ]
