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

    def find(self, place: int) -> RangeAssignment | None:
        """Return the range that holds `place`, or None where the table has a gap."""
        position = bisect_right(self._starts, place) - 1
        if position < 0:
            return None
        assignment = self._assignments[position]
        return assignment if assignment.contains(place) else None

    def replaced(
        self, expected: Sequence[RangeAssignment], replacement: Sequence[RangeAssignment]
    ) -> "RangeTable | None":
        """Return the table with some ranges replaced, or None where it doesn't fit.

        Costs two copies of the table and a search for each range, no sort.

        :param expected: ranges that must stand in this table as given.
        :param replacement: ranges that come in their place; they must not overlap others.
        """
        assignments = list(self._assignments)
        starts = list(self._starts)
        for assignment in expected:
            position = bisect_left(starts, assignment.start)
            if position == len(starts) or assignments[position] != assignment:
                return None
            del assignments[position], starts[position]
        for assignment in replacement:
            position = bisect_left(starts, assignment.start)
            if _overlaps(assignments, position, assignment):
                return None
            assignments.insert(position, assignment)
            starts.insert(position, assignment.start)
        table = RangeTable()
        table._assignments = tuple(assignments)
        table._starts = starts
        return table

    def __iter__(self) -> Iterator[RangeAssignment]:
        return iter(self._assignments)

    def __len__(self) -> int:
        return len(self._assignments)


def _overlaps(
    assignments: Sequence[RangeAssignment], position: int, assignment: RangeAssignment
) -> bool:
    """Tell whether `assignment`, put at `position`, overlaps one of its neighbours."""
    if position > 0 and assignments[position - 1].end >= assignment.start:
        return True
    return position < len(assignments) and assignments[position].start <= assignment.end
