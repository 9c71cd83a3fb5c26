"""The read-only table of a service's ranges."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Sequence

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

    def find(self, position: int) -> RangeAssignment | None:
        """Return the range that holds `position`, or None where the table has a gap."""
        index = bisect_right(self._starts, position) - 1
        if index < 0:
            return None
        assignment = self._assignments[index]
        return assignment if assignment.contains(position) else None

    def replaced(
        self, expected: Sequence[RangeAssignment], replacement: Sequence[RangeAssignment]
    ) -> "RangeTable | None":
        """Return the table with some ranges replaced, or None where they do not fit.

        Takes two copies of the table and a binary search for each range, no sort.

        :param expected: ranges that this table must contain as given.
        :param replacement: ranges to insert instead; they must not overlap others.
        """
        assignments = list(self._assignments)
        starts = list(self._starts)
        for assignment in expected:
            index = bisect_left(starts, assignment.start)
            if index == len(starts) or assignments[index] != assignment:
                return None
            del assignments[index], starts[index]
        for assignment in replacement:
            index = bisect_left(starts, assignment.start)
            if _overlaps(assignments, index, assignment):
                return None
            assignments.insert(index, assignment)
            starts.insert(index, assignment.start)
        table = RangeTable()
        table._assignments = tuple(assignments)
        table._starts = starts
        return table

    def __iter__(self) -> Iterator[RangeAssignment]:
        return iter(self._assignments)

    def __len__(self) -> int:
        return len(self._assignments)


def _overlaps(
    assignments: Sequence[RangeAssignment], index: int, assignment: RangeAssignment
) -> bool:
    """Tell whether `assignment`, inserted at `index`, would overlap a neighbour."""
    if index > 0 and assignments[index - 1].end >= assignment.start:
        return True
    return index < len(assignments) and assignments[index].start <= assignment.end
