"""A broker's reply to a request for a slot."""

from dataclasses import dataclass
from enum import Enum

from indigoworks.gateway.refusal import Refusal


class SlotOutcome(Enum):
    """What a broker says to a request."""

    GRANTED = "granted"
    QUEUED = "queued"
    """The request waits; another reply follows."""
    FULL = "full"
    """No slot is free, and the request may not wait."""
    REFUSED = "refused"
    DECLINED = "declined"
    """The broker stops: ask another one."""


@dataclass(frozen=True, slots=True)
class SlotReply:
    """Reply to the request `number`.

    :ivar server_id: whose slot is granted; empty: none is.
    :ivar wait_s: seconds until a slot is likely to be free, where none is and the request may not
        wait.
    :ivar refusal: why the caller's request cannot be served in time; None unless it is refused.
    """

    number: int
    outcome: SlotOutcome
    server_id: str = ""
    refusal: Refusal | None = None
    wait_s: float = 0.0
