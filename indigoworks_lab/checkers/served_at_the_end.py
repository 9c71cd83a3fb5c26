"""After the last fault has ended, every key is served again."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "served at the end"


def check_served_at_the_end(history: History, end_s: float, within_s: float) -> Sequence[Violation]:
    """Check that each key that was ever called was served in the last `within_s` seconds."""
    keys = {(call.service, call.key) for call in history.calls}
    served = {
        (call.service, call.key)
        for call in history.calls
        if call.answered_s is not None
        and call.answered_s >= end_s - within_s
        and call.outcome is CallOutcome.COMPLETED
        and call.status < 400
    }
    return [
        Violation(NAME, end_s, f"{service} {key!r} was not served in the last {within_s:g} s")
        for service, key in sorted(keys - served)
    ]
