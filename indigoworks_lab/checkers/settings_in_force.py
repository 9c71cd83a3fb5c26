"""An accepted settings change is in force everywhere within seconds and never reverts."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.history.settings_use import SettingsUse
from indigoworks_lab.checkers.violation import Violation

NAME = "settings in force"

IN_FORCE_WITHIN_S = 3.0
"""Time after its acceptance from which no router may forward under an older version."""


def check_settings_in_force(history: History) -> Sequence[Violation]:
    """Check acceptance, delay and order of the settings' versions."""
    return [
        *_check_accepted_once(history),
        *_check_in_force(history),
        *_check_never_back(history.settings_uses),
        *_check_one_content(history.settings_uses),
    ]


def _check_accepted_once(history: History) -> list[Violation]:
    found: list[Violation] = []
    accepted: dict[int, str] = {}
    for change in history.settings_changes:
        if not change.is_accepted:
            continue
        other = accepted.setdefault(change.version, change.change_id)
        if other != change.change_id:
            text = f"version {change.version} was accepted for {other} and {change.change_id}"
            found.append(Violation(NAME, change.answered_s or change.asked_s, text))
    return found


def _check_in_force(history: History) -> list[Violation]:
    accepted = sorted(
        (change.answered_s + IN_FORCE_WITHIN_S, change.version)
        for change in history.settings_changes
        if change.is_accepted and change.answered_s is not None
    )
    found: list[Violation] = []
    required = 0
    position = 0
    for use in sorted(history.settings_uses, key=lambda each: each.at_s):
        while position < len(accepted) and accepted[position][0] <= use.at_s:
            required = max(required, accepted[position][1])
            position += 1
        if use.version < required:
            text = f"{use.router} forwarded under version {use.version}, not {required}"
            found.append(Violation(NAME, use.at_s, text))
    return found


def _check_never_back(uses: Sequence[SettingsUse]) -> list[Violation]:
    found: list[Violation] = []
    newest: dict[int, int] = {}
    for use in uses:
        earlier = newest.get(use.router_run, 0)
        if use.version < earlier:
            text = f"{use.router} went from version {earlier} back to {use.version}"
            found.append(Violation(NAME, use.at_s, text))
        newest[use.router_run] = max(earlier, use.version)
    return found


def _check_one_content(uses: Sequence[SettingsUse]) -> list[Violation]:
    found: list[Violation] = []
    contents: dict[int, str] = {}
    for use in uses:
        other = contents.setdefault(use.version, use.change_id)
        if other != use.change_id:
            text = f"version {use.version} is change {other} and, at {use.router}, {use.change_id}"
            found.append(Violation(NAME, use.at_s, text))
    return found
