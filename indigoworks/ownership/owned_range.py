"""A range of keys and its owner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FormerOwner:
    """A server that may still hold keys of a range under a lower token.

    Until when it may is no matter of the row: readings of a clock that all gateways share say
    nothing once it has jumped, and nobody who reads the row can know that it has.
    """

    server_id: str


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """Keys `first` to `last` (both inside) belong to one server under one fencing token.

    :ivar former: servers that may still hold keys of the range under lower tokens. The owner is
        granted the range only when each of them is ruled out.
    """

    first: int
    last: int
    server_id: str
    token: int
    former: tuple[FormerOwner, ...] = ()

    def holds(self, key: int) -> bool:
        """Tell whether `key` lies inside."""
        return self.first <= key <= self.last

    @property
    def width(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1
