"""A caller's request as received, before it is routed."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request with its complete body.

    :ivar request_id: id given by the caller or made by the router; unique per request.
    :ivar key: bytes of the key, percent-decoded.
    :ivar group: group that the used capacity is charged to.
    :ivar path: path and query, forwarded to the back end unchanged.
    :ivar headers: end-to-end headers, as (name, value).
    :ivar timeout_s: seconds the caller waits; None: the service's timeout applies.
    :ivar idempotency_key: requests resent with it are answered from a single run; None: not set.
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
