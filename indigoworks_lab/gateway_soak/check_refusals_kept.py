"""Checker: what was refused has not run."""

from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.soak_history import SoakHistory

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""


def check_refusals_kept(history: SoakHistory) -> Sequence[Violation]:
    """Return requests that a server ran although their answer says that none did."""
    runs = history.run_counts()
    return [
        Violation(
            "refusals_kept",
            each.ended_s,
            f"{each.request_id} ran, and the answer was {each.status}",
        )
        for each in history.requests
        if each.status in REFUSALS and each.request_id in runs
    ]
