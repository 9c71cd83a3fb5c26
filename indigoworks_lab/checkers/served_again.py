"""Time from the loss of a server until its keys are served again."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.history.loss import Loss


@dataclass(frozen=True)
class ServedAgain:
    """How long one key was not served after one loss.

    :ivar duration_s: None when it was not served again before the run ended.
    """

    kind: str
    service: str
    key: bytes
    lost_s: float
    duration_s: float | None


def served_again(history: History) -> Sequence[ServedAgain]:
    """Measure, for each key whose owner was lost, the time until a call on it completed.

    The owner of a key is the server at which the key last took effect before the loss. The call
    may complete at the lost server itself if it came back first.
    """
    executions: dict[tuple[str, bytes], list[Execution]] = defaultdict(list)
    for execution in history.executions:
        executions[(execution.service, execution.key)].append(execution)
    calls: dict[tuple[str, bytes], list[Call]] = defaultdict(list)
    for call in history.calls:
        calls[(call.service, call.key)].append(call)
    return [
        ServedAgain(loss.kind, place[0], place[1], loss.at_s, _duration(loss, calls[place]))
        for loss in history.losses
        for place, runs in executions.items()
        if _owner_before(loss, runs) == loss.server_run
    ]


def _owner_before(loss: Loss, runs: Sequence[Execution]) -> int | None:
    owner: int | None = None
    for execution in runs:
        if execution.effect_s is not None and execution.effect_s <= loss.at_s:
            owner = execution.server_run
    return owner


def _duration(loss: Loss, calls: Sequence[Call]) -> float | None:
    ends = [
        call.answered_s
        for call in calls
        if call.answered_s is not None
        and call.outcome is CallOutcome.COMPLETED
        and call.status < 400
        and call.invoked_s >= loss.at_s
    ]
    return min(ends) - loss.at_s if ends else None
