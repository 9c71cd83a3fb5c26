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
        if _is_breach(each)
    ]


def _is_breach(life: ProcessLife) -> bool:
    if life.stopped_s is not None:
        was_killed_too = life.killed_s is not None
        return life.exit_code != 0 and (was_killed_too or life.ended_s is not None)
    return life.ended_s is not None and life.killed_s is None
