"""Evidence that another server has taken over an address."""

from enum import Enum


class ReplacementEvidence(Enum):
    """Kinds of evidence by which a server counts as gone, for the log."""

    ORDER = "order"
    """Status 421 in response to an order, with the id of the server that answers."""
    REQUEST = "request"
    """Status 421 in response to a request, with the id of another server."""
