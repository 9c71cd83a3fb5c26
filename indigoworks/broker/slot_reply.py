"""A broker's reply to a request for a slot."""

from dataclasses import dataclass
from enum import Enum

from indigoworks.gateway.refusal import Refusal


class SlotOutcome(Enum):
    """What a broker decided about a request."""

    GRANTED = "granted"
    QUEUED = "queued"
    """The request is queued; another reply follows."""
    FULL = "full"
    """No slot is free, and the request may not be queued."""
    REFUSED = "refused"
    DECLINED = "declined"
    """The broker is stopping; the requester should use another one."""


@dataclass(frozen=True, slots=True)
class SlotReply:
    """Reply to the request `number`.

    :ivar server_id: server of the granted slot; empty if none is granted.
    :ivar wait_s: with FULL, estimated seconds until a slot is free.
    :ivar wants_trials: a server is ejected: requests are to tell if they are repeatable.
    :ivar refusal: why the caller's request cannot be served in time; None unless REFUSED.
    """

    number: int
    outcome: SlotOutcome
    server_id: str = ""
    refusal: Refusal | None = None
    wait_s: float = 0.0
    wants_trials: bool = False
