"""A caller's request as it enters the request path."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallerRequest:
    """One request of a caller, with its whole body.

    :ivar request_id: id given by the caller or made by the router; unique per request.
    :ivar key: bytes of the key, percent-decoded.
    :ivar group: group that the capacity is charged to.
    :ivar path: path and query, unchanged, as the back end sees them.
    :ivar headers: end-to-end headers, as (name, value).
    :ivar timeout_s: seconds the caller waits; None takes the service's timeout.
    :ivar idempotency_key: resends under the same one are answered from one run; None: no resends.
    """

    request_id: str
    service: str
    key: bytes
    group: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_s: float | None = None
    idempotency_key: str | None = None
