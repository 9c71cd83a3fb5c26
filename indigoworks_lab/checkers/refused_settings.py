"""A settings change that was refused never comes in force."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "refused settings"

REFUSED_STATUSES = frozenset({400, 409, 422, 503})
"""Answers that say that nothing took effect."""


def check_refused_settings(history: History) -> Sequence[Violation]:
    """Check that no router ever used a tree whose change was answered as refused."""
    refused = {
        change.change_id: change
        for change in history.settings_changes
        if change.status in REFUSED_STATUSES
    }
    found: dict[str, Violation] = {}
    for use in history.settings_uses:
        change = refused.get(use.change_id)
        if change is not None and use.change_id not in found:
            text = (
                f"{use.router} forwarded under change {use.change_id}, which was refused with "
                f"{change.status} at {change.answered_s} s"
            )
            found[use.change_id] = Violation(NAME, use.at_s, text)
    return list(found.values())
