"""Validation of a caller's request before it is routed."""

from result import Err, Ok, Result

from indigoworks.common.clock import Clock
from indigoworks.router import refusals
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.errors import RouterError
from indigoworks.router.limits import MAX_BODY_BYTES
from indigoworks.router.routed_request import RoutedRequest
from indigoworks.router.routing_view import RoutingView
from indigoworks.settings.resolved_settings import ResolvedSettings


class RequestCheck:
    """Validates requests and resolves their settings."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def check(
        self, request: CallerRequest, view: RoutingView
    ) -> Result[RoutedRequest, RouterError]:
        """Return the request with its settings and deadline, or the reason to refuse it."""
        settings = view.settings.resolve(request.service, request.group, request.key)
        if settings is None:
            return Err(refusals.unknown_service(request.service))
        if not request.key:
            return Err(refusals.missing_key())
        limit_bytes = _body_limit(settings)
        if len(request.body) > limit_bytes:
            return Err(refusals.body_too_large(len(request.body), limit_bytes))
        return Ok(
            RoutedRequest(
                caller=request,
                settings=settings,
                deadline_s=self._clock.now() + self._timeout_s(request, settings),
                is_repeatable=self._is_repeatable(request, settings),
            )
        )

    def max_body_bytes(self, view: RoutingView, service: str, group: str) -> int | None:
        """Return the body size limit before the key is known; None for an unknown service."""
        settings = view.settings.resolve(service, group)
        return None if settings is None else _body_limit(settings)

    def _timeout_s(self, request: CallerRequest, settings: ResolvedSettings) -> float:
        """Return the caller's timeout, capped at that of the service."""
        if request.timeout_s is None:
            return settings.request_timeout_s
        return min(request.timeout_s, settings.request_timeout_s)

    def _is_repeatable(self, request: CallerRequest, settings: ResolvedSettings) -> bool:
        if request.method in settings.repeatable_methods:
            return True
        rest = path_after_key(request.path)
        return any(_is_below(rest, prefix) for prefix in settings.repeatable_paths)


def path_after_key(path: str) -> str:
    """Return the path after the key of /v1/SERVICE/KEY/REST?QUERY: `/REST` or an empty string."""
    parts = path.partition("?")[0].split("/", 4)
    return f"/{parts[4]}" if len(parts) > 4 else ""


def _is_below(path: str, prefix: str) -> bool:
    """Match whole segments, `/stock` to `/stock/7`, not to `/stock-orders`; paths with .. never."""
    if ".." in path:
        return False
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _body_limit(settings: ResolvedSettings) -> int:
    return min(settings.max_body_bytes, MAX_BODY_BYTES)
