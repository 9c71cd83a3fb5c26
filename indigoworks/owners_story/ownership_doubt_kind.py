"""Kinds of doubt about an ownership transfer."""

from enum import Enum


class OwnershipDoubtKind(Enum):
    """Reasons why another server may still have held the keys."""

    BOUND_RUNS = "bound_runs"
    """One bound on the former hold has expired, but another one has not."""
    ORDER_UNANSWERED = "order_unanswered"
    """The former owner has not answered grants of the keys and may apply them late."""
    OLD_PROOF = "old_proof"
    """The gateway that sent the order may no longer have been the leader."""
    UNNAMED_SERVER = "unnamed_server"
    """A server counts as replaced, but the line names no replacing server."""
    NO_PROOF = "no_proof"
    """The former owner was not ruled out before the transfer."""
