"""A range of keys and its owner."""

from dataclasses import dataclass


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
    former: tuple[str, ...] = ()

    def holds(self, key: int) -> bool:
        """Tell whether `key` lies inside."""
        return self.first <= key <= self.last

    @property
    def width(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1
