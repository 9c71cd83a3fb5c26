"""A range of keys and its owner."""

from dataclasses import dataclass

BOUND_UNKNOWN = 0


@dataclass(frozen=True, slots=True)
class FormerOwner:
    """A server that may still hold keys of a range under a lower token.

    :ivar until_ms: reading of the store's steady clock after which it holds them no longer, in
        milliseconds; BOUND_UNKNOWN: none is known.
    """

    server_id: str
    until_ms: int = BOUND_UNKNOWN


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
