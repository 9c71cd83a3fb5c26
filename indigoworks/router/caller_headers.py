"""HTTP headers between callers and routers."""

from collections.abc import Iterable

from indigoworks.backend.http_header_filter import end_to_end_headers

REQUEST_ID = "Indigoworks-Request-Id"
"""Id of the request; made by the router when the caller gives none, and always echoed."""

GROUP = "Indigoworks-Group"
"""Group that the request is charged to."""

TIMEOUT_MS = "Indigoworks-Timeout-Ms"
"""Milliseconds that the caller waits; capped at the service's timeout."""

IDEMPOTENCY_KEY = "Idempotency-Key"
"""Requests resent with the same key are answered from a single run."""

OUTCOME = "Indigoworks-Outcome"
"""Outcome of the request: completed, not-run or unknown."""

RETRY_AFTER = "Retry-After"
"""Whole seconds after which a retry may succeed."""

RETRY_AFTER_MS = "Indigoworks-Retry-After-Ms"
"""The delay of Retry-After in milliseconds, for callers that can use it."""

_OWN_ANSWER_HEADERS = frozenset(
    name.lower() for name in (REQUEST_ID, OUTCOME, RETRY_AFTER_MS, "Server", "Date")
)


def headers_for_backend(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the caller's headers to forward to the back end."""
    return end_to_end_headers(headers)


def headers_for_caller(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the back end's headers to forward to the caller, without those the router sets."""
    kept = end_to_end_headers(headers)
    return tuple(pair for pair in kept if pair[0].lower() not in _OWN_ANSWER_HEADERS)
