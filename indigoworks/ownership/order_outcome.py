"""Outcome of an order to a server."""

from dataclasses import dataclass
from enum import Enum


class OrderResult(Enum):
    """Results of an order."""

    DONE = "done"
    FENCED = "fenced"
    """The server has seen a higher token on one of the keys; nothing was done."""
    REFUSED = "refused"
    """The server rejected the order for another reason; nothing was done."""
    NOT_SENT = "not_sent"
    """No connection was established: the order certainly did not reach any server."""
    REFUSED_CONNECTION = "refused_connection"
    """The connection was refused: the order did not reach any server. No process listens there, or
    the network refuses in its place."""
    WITHHELD = "withheld"
    """The sender was no longer allowed to send: the order certainly did not reach any server, and
    this says nothing about the server."""
    OTHER_SERVER = "other_server"
    """A server at the address rejected the order as meant for another server."""
    UNANSWERED = "unanswered"
    """The order may have been applied, or may be applied seconds later."""

    @property
    def is_answer(self) -> bool:
        """Return whether some process at the server's address answered."""
        return self not in (
            OrderResult.NOT_SENT,
            OrderResult.REFUSED_CONNECTION,
            OrderResult.WITHHELD,
            OrderResult.UNANSWERED,
        )


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Result of a grant or release.

    :ivar handover: data for the next owner; only with a release that was done.
    :ivar answering_id: id that the answering server gave for itself; None: it gave none.
    """

    result: OrderResult
    handover: str | None = None
    answering_id: str | None = None

    def is_from_other(self, server_id: str) -> bool:
        """Return whether another server with an id of its own answered at the server's address."""
        is_named = self.answering_id is not None and self.answering_id != server_id
        return self.result is OrderResult.OTHER_SERVER and is_named
