"""Values by ranges of keys."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from indigoworks.ownership.ownership_table import KEY_COUNT

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, slots=True)
class Piece(Generic[ValueT]):
    """Keys `first` to `last` (both inside) that have one value."""

    first: int
    last: int
    value: ValueT


class IntervalMap(Generic[ValueT]):
    """One value for each key from 0 to KEY_COUNT - 1."""

    def __init__(self, value: ValueT) -> None:
        self._firsts = [0]
        self._values = [value]

    def get(self, key: int) -> ValueT:
        """Return the value of a key."""
        return self._values[bisect_right(self._firsts, key) - 1]

    def set(self, first: int, last: int, value: ValueT) -> None:
        """Give keys `first` to `last` a value."""
        self._cut(first)
        if last + 1 < KEY_COUNT:
            self._cut(last + 1)
        start = bisect_left(self._firsts, first)
        end = bisect_left(self._firsts, last + 1)
        self._firsts[start:end] = [first]
        self._values[start:end] = [value]

    def pieces(self, first: int = 0, last: int = KEY_COUNT - 1) -> Iterator[Piece[ValueT]]:
        """Return the pieces of `first` to `last`, cut to these bounds, in order."""
        index = bisect_right(self._firsts, first) - 1
        while index < len(self._firsts) and self._firsts[index] <= last:
            is_final = index + 1 == len(self._firsts)
            end = KEY_COUNT - 1 if is_final else self._firsts[index + 1] - 1
            yield Piece(max(first, self._firsts[index]), min(last, end), self._values[index])
            index += 1

    def _cut(self, first: int) -> None:
        """Make a piece begin at `first`."""
        index = bisect_right(self._firsts, first) - 1
        if self._firsts[index] != first:
            self._firsts.insert(index + 1, first)
            self._values.insert(index + 1, self._values[index])
