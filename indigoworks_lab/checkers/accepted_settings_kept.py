"""An accepted settings change is never lost."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "accepted settings kept"


def check_accepted_settings_kept(history: History) -> Sequence[Violation]:
    """Check that a version in force is the change that was accepted under that version."""
    accepted: dict[int, str] = {}
    for change in history.settings_changes:
        if change.is_accepted:
            accepted.setdefault(change.version, change.change_id)
    found: list[Violation] = []
    for use in history.settings_uses:
        change_id = accepted.get(use.version)
        if change_id is not None and change_id != use.change_id:
            text = (
                f"{use.router} forwarded under version {use.version} of {use.change_id}, but "
                f"that version was accepted for {change_id}"
            )
            found.append(Violation(NAME, use.at_s, text))
    return found
