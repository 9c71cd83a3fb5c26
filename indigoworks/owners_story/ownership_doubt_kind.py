"""What speaks against a passing of keys."""

from enum import Enum


class OwnershipDoubtKind(Enum):
    """Reasons to doubt that nobody else held the keys."""

    BOUND_RUNS = "bound_runs"
    """A bound has ended, and another one on the same hold has not."""
    ORDER_UNANSWERED = "order_unanswered"
    """The former owner left grants of the keys unanswered and may take them late."""
    OLD_PROOF = "old_proof"
    """Whoever gave the order might not act as leader any more."""
    UNNAMED_SERVER = "unnamed_server"
    """A server counts as gone by an answer that does not say who gave it."""
    NO_PROOF = "no_proof"
    """Nobody asked whether the former owner still held the keys."""
