"""An answer of the administration API."""

from dataclasses import dataclass


@dataclass(frozen=True)
class AdminResponse:
    """An answer, whichever way it goes.

    :ivar status: HTTP status.
    :ivar body: JSON.
    :ivar retry_after_s: seconds after which a repeat may succeed; 0: none said.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0
