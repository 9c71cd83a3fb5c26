"""An acknowledged assignment survives until a newer one replaces it."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.checkers.history.assignment_sample import AssignmentSample, CommittedRange
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "assignments kept"


@dataclass(frozen=True)
class Place:
    """A place in the key space of a service at which some sample has a range begin.

    Between two neighbouring places no sample has a boundary, so one place stands for all keys up
    to the next.
    """

    service: str
    position: int


def check_assignments_kept(history: History) -> Sequence[Violation]:
    """Check, at each place, that tokens never go back and that one token names one owner.

    Within a generation a place must stay covered; it may be covered by a range that nobody owns,
    after its owner was lost. A new generation may begin without ranges that it has not granted
    anew yet, but it never goes back to an older token.
    """
    samples = sorted(history.assignments, key=lambda each: each.at_s)
    places = {Place(each.service, each.start) for sample in samples for each in sample.ranges}
    found: list[Violation] = []
    for place in sorted(places, key=lambda each: (each.service, each.position)):
        found += _check_place(place, samples)
    return found


def _check_place(place: Place, samples: Sequence[AssignmentSample]) -> list[Violation]:
    found: list[Violation] = []
    newest: CommittedRange | None = None
    covered_in = 0
    for sample in samples:
        current = _find(sample, place)
        problem = ""
        if current is None:
            if covered_in == sample.generation:
                problem = "is covered by no range any more"
        elif current.owner:
            problem = _problem(newest, current)
        if problem:
            text = f"{place.service} {place.position:#x} {problem} at {sample.leader}"
            found.append(Violation(NAME, sample.at_s, text))
        if current is not None:
            covered_in = sample.generation
            if current.owner:
                newest = current
    return found


def _find(sample: AssignmentSample, place: Place) -> CommittedRange | None:
    for each in sample.ranges:
        if each.service == place.service and each.start <= place.position <= each.end:
            return each
    return None


def _problem(newest: CommittedRange | None, current: CommittedRange) -> str:
    if newest is None or current.token > newest.token:
        return ""
    if current.token < newest.token:
        return (
            f"went from token {newest.token:#x} of {newest.owner} back to {current.token:#x} "
            f"of {current.owner}"
        )
    if (current.owner, current.owner_incarnation) != (newest.owner, newest.owner_incarnation):
        return f"went from {newest.owner} to {current.owner} under one token {current.token:#x}"
    return ""
