"""A range of keys and its owner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FormerOwner:
    """A server that may still hold keys of a range under a lower token.

    The row does not say until when: that would be a reading of a clock that all gateways share. It
    means nothing after that clock has jumped, and a reader of the row cannot detect a jump.
    """

    server_id: str


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """Keys `first` to `last` (inclusive), owned by one server under one fencing token.

    :ivar former: servers that may still hold keys of the range under lower tokens. The owner is
        granted the range only when each of them has been ruled out.
    """

    first: int
    last: int
    server_id: str
    token: int
    former: tuple[FormerOwner, ...] = ()

    def holds(self, key: int) -> bool:
        """Return whether `key` is in the range."""
        return self.first <= key <= self.last

    @property
    def width(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1
