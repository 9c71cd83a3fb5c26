"""Checker: a request that a process has read gets a whole answer."""

from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.process_life import ProcessLife
from indigoworks_lab.gateway_soak.soak_history import SoakHistory
from indigoworks_lab.gateway_soak.soak_request import SoakRequest

KILL_SLACK_S = 0.1
"""A kill may be seen at a connection before its time is noted."""

LATE_STOP_S = 3.0
"""A request sent later than this after SIGTERM must be answered in any case."""

LAST_SHARE = 1 / 6
"""In this last share of the grace time what a server still works on may be cut."""


def check_answers_come(history: SoakHistory) -> Sequence[Violation]:
    """Return requests whose connection ended without a whole answer, and those never answered.

    A request that crossed the close of its connection, unread, counts only if a server ran it.
    """
    runs = history.run_counts()
    found = []
    for request in history.requests:
        if request.is_whole:
            continue
        life = history.life(request)
        has_run = request.request_id in runs
        if _is_excused(request, life, has_run):
            continue
        if request.is_given_up:
            text = "no answer long after its deadline"
        elif has_run or request.was_read:
            text = f"connection ended without a whole answer ({'run' if has_run else 'not run'})"
        else:
            continue
        name = f"{request.request_id} at {life.name}, sent at {request.sent_s:.3f} s"
        found.append(Violation("answers_come", request.ended_s, f"{name}: {text}"))
    return found


def _is_excused(request: SoakRequest, life: ProcessLife, has_run: bool) -> bool:
    if life.killed_s is not None and request.ended_s > life.killed_s - KILL_SLACK_S:
        return True
    if life.stopped_s is None or request.is_given_up:
        return False
    last_s = life.stopped_s + life.grace_s * (1 - LAST_SHARE)
    was_early = request.sent_s <= life.stopped_s + LATE_STOP_S
    return has_run and was_early and request.ended_s >= last_s
