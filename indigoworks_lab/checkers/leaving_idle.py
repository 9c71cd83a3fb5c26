"""A leaving server receives no new work after a short time."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "leaving servers idle"

IDLE_AFTER_S = 2.0
"""Time after the order to leave from which no request may begin at the server."""


def check_leaving_idle(history: History) -> Sequence[Violation]:
    """Check that nothing begins at a leaving run of a server later than IDLE_AFTER_S."""
    asked: dict[int, float] = {}
    for departure in history.departures:
        asked.setdefault(departure.server_run, departure.asked_s)
    found: list[Violation] = []
    for execution in history.executions:
        asked_s = asked.get(execution.server_run)
        if asked_s is not None and execution.started_s > asked_s + IDLE_AFTER_S:
            text = (
                f"{execution.request_id} began at {execution.server}, which was to leave at "
                f"{asked_s:.3f} s"
            )
            found.append(Violation(NAME, execution.started_s, text))
    return found
