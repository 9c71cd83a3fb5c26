"""The read-only table of a service's ranges."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator

from indigoworks.common.ring.range_assignment import RangeAssignment


class RangeTable:
    """Ranges of one service, sorted by start and free of overlap.

    A table never changes; a change of ownership makes a new table.
    """

    def __init__(self, assignments: Iterable[RangeAssignment] = ()) -> None:
        """Build the table.

        :param assignments: ranges of one service, in any order.
        :raises ValueError: two ranges overlap.
        """
        self._assignments = tuple(sorted(assignments, key=lambda each: each.start))
        self._starts = [each.start for each in self._assignments]
        for left, right in zip(self._assignments, self._assignments[1:], strict=False):
            if right.start <= left.end:
                raise ValueError(f"ranges overlap at {right.start:#018x}")

    def find(self, place: int) -> RangeAssignment | None:
        """Return the range that holds `place`, or None where the table has a gap."""
        position = bisect_right(self._starts, place) - 1
        if position < 0:
            return None
        assignment = self._assignments[position]
        return assignment if assignment.contains(place) else None

    def __iter__(self) -> Iterator[RangeAssignment]:
        return iter(self._assignments)

    def __len__(self) -> int:
        return len(self._assignments)
