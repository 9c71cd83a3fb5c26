"""Address and capacity of a peer."""

from dataclasses import dataclass

from indigoworks.common.address import Address


def strength_rank(capacity: float, node: str) -> tuple[float, str]:
    """Return a sort key of gateways: the largest capacity first, then by name."""
    return -capacity, node


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address and boot of one gateway; `zone` is that of its machine.

    :ivar address: UDP for reports, TCP for requests to a relay.
    :ivar capacity: capacity of its machine as hub or relay, in processor cores; 0: it is neither.
    """

    node: str
    boot: str
    zone: str
    address: Address
    capacity: float = 1.0

    def rank(self) -> tuple[float, str]:
        """Return the sort key of this gateway; see `strength_rank`."""
        return strength_rank(self.capacity, self.node)
