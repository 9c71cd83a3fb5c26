"""Checker: what may not be repeated runs once."""

from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.soak_history import SoakHistory


def check_single_runs(history: SoakHistory) -> Sequence[Violation]:
    """Return requests that ran more than once and are not safe."""
    runs = history.run_counts()
    return [
        Violation(
            "single_runs", each.ended_s, f"{each.request_id} ran {runs[each.request_id]} times"
        )
        for each in history.requests
        if not each.is_safe and runs[each.request_id] > 1
    ]
