"""At most one controller holds the leader lease at any moment."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "one leader"


def check_one_leader(history: History) -> Sequence[Violation]:
    """Check that no two controllers held the leader lease at the same true time."""
    return [
        Violation(NAME, overlap.at_s, f"{' and '.join(overlap.leaders)} lead at once")
        for overlap in history.leader_overlaps
    ]
