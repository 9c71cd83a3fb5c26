"""All checkers, run on one history."""

from collections.abc import Callable, Sequence

from indigoworks_lab.checkers.accepted_settings_kept import check_accepted_settings_kept
from indigoworks_lab.checkers.assignments_kept import check_assignments_kept
from indigoworks_lab.checkers.at_most_once import check_at_most_once
from indigoworks_lab.checkers.effects_under_ownership import check_effects_under_ownership
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.leaving_idle import check_leaving_idle
from indigoworks_lab.checkers.not_run import check_not_run
from indigoworks_lab.checkers.one_leader import check_one_leader
from indigoworks_lab.checkers.planned_stop_cuts_nothing import check_planned_stop_cuts_nothing
from indigoworks_lab.checkers.refused_settings import check_refused_settings
from indigoworks_lab.checkers.settings_in_force import check_settings_in_force
from indigoworks_lab.checkers.sole_ownership import check_sole_ownership
from indigoworks_lab.checkers.tokens_grow import check_tokens_grow
from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.checkers.whole_answers import check_whole_answers

Checker = Callable[[History], Sequence[Violation]]

CHECKERS: tuple[Checker, ...] = (
    check_sole_ownership,
    check_effects_under_ownership,
    check_tokens_grow,
    check_assignments_kept,
    check_one_leader,
    check_at_most_once,
    check_not_run,
    check_whole_answers,
    check_settings_in_force,
    check_accepted_settings_kept,
    check_refused_settings,
    check_leaving_idle,
    check_planned_stop_cuts_nothing,
)


def check_history(history: History) -> Sequence[Violation]:
    """Return everything that any checker finds, by time."""
    found = [violation for checker in CHECKERS for violation in checker(history)]
    return sorted(found, key=lambda violation: violation.at_s)
