"""Every caller receives the whole answer to its own request."""

from collections import defaultdict
from collections.abc import Sequence

from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "whole answers"


def check_whole_answers(history: History) -> Sequence[Violation]:
    """Check that each completed call carries exactly what a back end answered to its request."""
    answers: dict[str, set[bytes]] = defaultdict(set)
    for execution in history.executions:
        if execution.answer is not None:
            answers[execution.request_id].add(execution.answer)
    return [
        Violation(
            NAME,
            call.answered_s or call.invoked_s,
            f"{call.request_id} on {call.key!r} was answered {call.status} {call.body[:60]!r}, "
            f"which no back end answered to it",
        )
        for call in history.calls
        if _carries_answer(call) and call.body not in answers[call.request_id]
    ]


def _carries_answer(call: Call) -> bool:
    return call.outcome is CallOutcome.COMPLETED and call.status < 400
