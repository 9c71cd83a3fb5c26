"""Checker: processes end only when they are told to, and within their grace time."""

from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.process_life import ProcessLife
from indigoworks_lab.gateway_soak.soak_history import SoakHistory


def check_exits(history: SoakHistory) -> Sequence[Violation]:
    """Return processes that ended by themselves or outlived their grace time."""
    return [
        Violation("exits", each.ended_s or 0.0, f"{each.name}: exit code {each.exit_code}")
        for each in history.lives
        if _is_breach(each, history.is_timed)
    ]


def _is_breach(life: ProcessLife, is_timed: bool) -> bool:
    if life.ended_s is None:
        return False
    if life.killed_s is not None:
        return is_timed and life.stopped_s is not None and life.exit_code != 0
    return life.stopped_s is None or life.exit_code != 0
