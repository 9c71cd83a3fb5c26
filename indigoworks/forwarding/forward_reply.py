"""Reply of the gateway that a request was forwarded to."""

from dataclasses import dataclass
from enum import Enum


class ForwardOutcome(Enum):
    """Ways in which a forwarded request ends at its receiver."""

    ANSWERED = "answered"
    """A server ran it and answered."""
    REFUSED = "refused"
    """It has not run and never will; other gateways would refuse it as well."""
    LOST = "lost"
    """It may have run."""
    UNROUTED = "unrouted"
    """The receiver's configuration does not allow it."""
    DECLINED = "declined"
    """The receiver did nothing with it; another one may take it."""


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """Outcome, and the response for the caller unless the request was declined.

    :ivar reason: of a refusal or of declining.
    :ivar retry_after_s: of a refusal.
    :ivar configuration_version: in force at the receiver; 0: none.
    :ivar tried: servers that the receiver chose, in order.
    :ivar may_repeat: the receiver is a dispatcher and would repeat the request; the retry budget of
        the sender decides.
    """

    outcome: ForwardOutcome
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0
    configuration_version: int = 0
    tried: tuple[str, ...] = ()
    may_repeat: bool = False
