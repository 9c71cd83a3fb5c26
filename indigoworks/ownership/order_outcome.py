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
    REFUSED_CONNECTION = "refused_connection"
    """The connection was refused: the order did not reach any server. Nobody listens there,
    or a path that is cut refuses in its stead."""
    WITHHELD = "withheld"
    """The sender itself may no longer send: the order certainly did not reach any server, which
    says nothing of the server."""
    OTHER_SERVER = "other_server"
    """Whoever answers at the address did not take the order because it is meant for another."""
    UNANSWERED = "unanswered"
    """It may have been carried out, or may be so seconds later."""

    @property
    def is_answer(self) -> bool:
        """Tell whether somebody at the server's address answered."""
        return self not in (
            OrderResult.NOT_SENT,
            OrderResult.REFUSED_CONNECTION,
            OrderResult.WITHHELD,
            OrderResult.UNANSWERED,
        )


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Result of a grant or release.

    :ivar handover: comes with a release that was done.
    :ivar answering_id: server that answered, by its own word; None: it did not say.
    """

    result: OrderResult
    handover: str | None = None
    answering_id: str | None = None

    def is_from_other(self, server_id: str) -> bool:
        """Tell whether another server names itself at the address of the one that was meant."""
        is_named = self.answering_id is not None and self.answering_id != server_id
        return self.result is OrderResult.OTHER_SERVER and is_named
