"""Checker: proper requests are not turned down as improper."""

from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.soak_history import SoakHistory

DENIALS = frozenset({400, 401, 403, 405, 411, 413, 414, 431})


def check_no_denials(history: SoakHistory) -> Sequence[Violation]:
    """Return requests that were denied; every request of a soak is within the limits."""
    return [
        Violation(
            "no_denials",
            each.ended_s,
            f"{each.request_id} at {history.life(each).name}: answered {each.status}",
        )
        for each in history.requests
        if each.status in DENIALS
    ]
