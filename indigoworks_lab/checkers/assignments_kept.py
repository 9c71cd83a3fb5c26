"""An acknowledged assignment survives until a newer one replaces it."""

from collections.abc import Sequence
from itertools import pairwise

from indigoworks_lab.checkers.history.assignment_sample import AssignmentSample, CommittedRange
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "assignments kept"


def check_assignments_kept(history: History) -> Sequence[Violation]:
    """Check that each range is covered, in the next sample, by ranges with no older token.

    Under one token the owner must stay the same. A new generation may begin without ranges that
    it has not granted anew yet, but it never goes back to an older token.
    """
    found: list[Violation] = []
    samples = sorted(history.assignments, key=lambda each: each.at_s)
    for earlier, later in pairwise(samples):
        if earlier.ranges != later.ranges:
            found += _compare(earlier, later)
    return found


def _compare(earlier: AssignmentSample, later: AssignmentSample) -> list[Violation]:
    found: list[Violation] = []
    for committed in earlier.ranges:
        problem = _problem(committed, later.ranges, earlier.generation == later.generation)
        if problem:
            found.append(
                Violation(
                    NAME,
                    later.at_s,
                    f"{committed.service} {committed.start:#x}-{committed.end:#x} of "
                    f"{committed.owner} under token {committed.token:#x} at {earlier.leader} "
                    f"is {problem} at {later.leader}",
                )
            )
    return found


def _problem(committed: CommittedRange, ranges: Sequence[CommittedRange], must_cover: bool) -> str:
    next_place = committed.start
    for other in sorted(ranges, key=lambda each: each.start):
        if other.service != committed.service or other.end < next_place:
            continue
        if other.start > committed.end:
            break
        if other.start > next_place and must_cover:
            return f"gone from {next_place:#x}"
        if other.token < committed.token:
            return f"under the older token {other.token:#x}"
        if other.token == committed.token and _owner(other) != _owner(committed):
            return f"of {other.owner} under the same token"
        if other.end >= committed.end:
            return ""
        next_place = other.end + 1
    return f"gone from {next_place:#x}" if must_cover else ""


def _owner(committed: CommittedRange) -> tuple[str, str]:
    return (committed.owner, committed.owner_incarnation)
