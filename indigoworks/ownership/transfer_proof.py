"""What shows that a former owner holds a range no longer."""

from enum import Enum


class TransferProof(Enum):
    """Proofs by which a range passes from a former owner to its owner."""

    RELEASED = "released"
    """The former owner answered a release."""
    ORDER_MISDIRECTED = "order_misdirected"
    """Another server answered a release: it has the address of the one that was meant."""
    SERVER_REPLACED = "server_replaced"
    """The former owner counted as gone before; `server:replaced` says why."""
    OWN_BOUND = "own_bound"
    """The last bound to end was that of this process's own grants."""
    PREDECESSOR_BOUND = "predecessor_bound"
    """The last bound to end was that of earlier leaders' grants."""
    NO_BOUND = "no_bound"
    """No leader is known to have granted anything to the former owner."""
