"""What became of an order to a server."""

from dataclasses import dataclass
from enum import Enum


class OrderResult(Enum):
    """Ways in which an order ends."""

    DONE = "done"
    FENCED = "fenced"
    """The server has seen a higher token on one of the keys; nothing was done."""
    REFUSED = "refused"
    """The server did not take the order for another reason; nothing was done."""
    NOT_SENT = "not_sent"
    """No connection came about: the order certainly did not reach any server."""
    OTHER_SERVER = "other_server"
    """Another server answers at the address: the one that was meant is gone."""
    UNANSWERED = "unanswered"
    """It may have been carried out, or may be so seconds later."""


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Result of a grant or release; `handover` comes with a release that was done.

    :ivar answering_id: id that the server names as its own in the answer; None: it names none.
    """

    result: OrderResult
    handover: str | None = None
    answering_id: str | None = None
