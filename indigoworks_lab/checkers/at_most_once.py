"""A request that may not be repeated runs at most once."""

from collections import Counter
from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "at most once"


def check_at_most_once(history: History) -> Sequence[Violation]:
    """Check that no non-repeatable request took effect more than once."""
    effects = Counter(
        execution.request_id for execution in history.executions if execution.effect_s is not None
    )
    return [
        Violation(
            NAME,
            call.invoked_s,
            f"{call.request_id} on {call.key!r} took effect {effects[call.request_id]} times",
        )
        for call in history.calls
        if not call.is_repeatable and effects[call.request_id] > 1
    ]
