"""All checkers of a soak."""

from collections.abc import Callable, Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.check_answers_come import check_answers_come
from indigoworks_lab.gateway_soak.check_configurations import check_configurations
from indigoworks_lab.gateway_soak.check_exits import check_exits
from indigoworks_lab.gateway_soak.check_limits_kept import check_limits_kept
from indigoworks_lab.gateway_soak.check_no_denials import check_no_denials
from indigoworks_lab.gateway_soak.check_refusals_kept import check_refusals_kept
from indigoworks_lab.gateway_soak.check_single_runs import check_single_runs
from indigoworks_lab.gateway_soak.check_wishes_kept import check_wishes_kept
from indigoworks_lab.gateway_soak.soak_history import SoakHistory

SOAK_CHECKERS: tuple[Callable[[SoakHistory], Sequence[Violation]], ...] = (
    check_answers_come,
    check_single_runs,
    check_refusals_kept,
    check_no_denials,
    check_configurations,
    check_exits,
    check_wishes_kept,
    check_limits_kept,
)


def check_soak(history: SoakHistory) -> Sequence[Violation]:
    """Return everything that any checker finds, by time."""
    found = [violation for checker in SOAK_CHECKERS for violation in checker(history)]
    return sorted(found, key=lambda violation: violation.at_s)
