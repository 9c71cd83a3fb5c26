"""What told that another server has taken an address."""

from enum import Enum


class ReplacementSign(Enum):
    """Signs by which a server counts as gone, for the log."""

    ORDER = "order"
    """Status 421 in answer to an order, with the id of the server that answers."""
    ORDER_WITHOUT_ID = "order_without_id"
    """Status 421 in answer to an order; it does not say who answers."""
    REQUEST = "request"
    """Status 421 in answer to a request, with the id of another server."""
    LIST = "list"
    """The list of servers names a later server at the address."""

    @classmethod
    def of_order(cls, answering_id: str | None) -> "ReplacementSign":
        """Return the sign that status 421 is in answer to an order."""
        return cls.ORDER_WITHOUT_ID if answering_id is None else cls.ORDER
