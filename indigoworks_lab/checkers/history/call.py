"""One request of a caller."""

from dataclasses import dataclass

from indigoworks_lab.checkers.history.call_outcome import CallOutcome


@dataclass
class Call:
    """A request as its caller saw it.

    :ivar answered_s: when the answer came; None while there is none.
    :ivar body: body of the answer.
    :ivar is_cut: the router that the caller was connected to ended before it answered.
    """

    request_id: str
    service: str
    key: bytes
    router: str
    is_repeatable: bool
    invoked_s: float
    answered_s: float | None = None
    outcome: CallOutcome | None = None
    status: int = 0
    body: bytes = b""
    is_cut: bool = False
