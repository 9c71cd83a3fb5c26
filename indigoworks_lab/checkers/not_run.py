"""What a caller is told was not run, was not run."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "not run"


def check_not_run(history: History) -> Sequence[Violation]:
    """Check that no request whose caller was told "not run" took effect, also not later."""
    ran = {
        execution.request_id: execution
        for execution in history.executions
        if execution.effect_s is not None
    }
    return [
        Violation(
            NAME,
            call.answered_s or call.invoked_s,
            f"{call.request_id} on {call.key!r} was answered not-run but ran at "
            f"{ran[call.request_id].server} at {ran[call.request_id].effect_s:.3f} s",
        )
        for call in history.calls
        if call.outcome is CallOutcome.NOT_RUN and call.request_id in ran
    ]
