"""What told that another server has taken an address."""

from enum import Enum


class ReplacementEvidence(Enum):
    """Signs by which a server counts as gone, for the log."""

    ORDER = "order"
    """Status 421 in answer to an order, with the id of the server that answers."""
    REQUEST = "request"
    """Status 421 in answer to a request, with the id of another server."""
    LIST = "list"
    """The list of servers names a later server at the address."""
