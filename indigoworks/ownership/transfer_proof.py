"""Proofs that a former owner no longer holds a range."""

from enum import Enum


class TransferProof(Enum):
    """Reasons for which a range may be granted although another server owned it before."""

    RELEASED = "released"
    """The former owner answered a release."""
    ORDER_MISDIRECTED = "order_misdirected"
    """Another server answered the release: it now has the former owner's address."""
    SERVER_REPLACED = "server_replaced"
    """The former owner was known to have ended; the log line `server:replaced` has the reason."""
    OWN_BOUND = "own_bound"
    """All holds have ended, last one that this process recorded; see HoldBounds for "own"."""
    PREDECESSOR_BOUND = "predecessor_bound"
    """All holds have ended, last one granted by an earlier leader."""
    NO_BOUND = "no_bound"
    """No leader is known to have granted anything to the former owner."""
