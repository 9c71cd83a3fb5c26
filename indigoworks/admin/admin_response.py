"""A response of the administration API."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AdminResponse:
    """A response, independent of the transport.

    :ivar status: HTTP status.
    :ivar body: JSON.
    :ivar retry_after_s: seconds after which a retry may succeed; 0: unknown.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0
