"""Kinds of doubt about an ownership transfer."""

from enum import Enum


class OwnershipDoubtKind(Enum):
    """Reasons why another server may still have held the keys."""

    BOUND_RUNS = "bound_runs"
    """The transfer relied on expired or absent bounds, but a bound on the hold had time left."""
    ORDER_UNANSWERED = "order_unanswered"
    """The former owner has not answered grants of the keys and may apply them late."""
    OLD_PROOF = "old_proof"
    """The gateway that sent the order may no longer have been the leader.

    Its proof of leadership was older than a leader's lease or not logged, or it was not leading.
    """
    UNNAMED_SERVER = "unnamed_server"
    """A server counts as replaced, but the line names no replacing server."""
    NO_PROOF = "no_proof"
    """The former owner was not ruled out before the transfer."""
