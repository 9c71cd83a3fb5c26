"""A request takes effect only at the server that owns its key at that moment."""

from collections import defaultdict
from collections.abc import Sequence

from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "effects under ownership"


def check_effects_under_ownership(history: History) -> Sequence[Violation]:
    """Check that no other server began to run a key between a request's start and its effect.

    A later owner that has begun may have read the state before the effect, so the effect would
    be lost or doubled.
    """
    by_key: dict[tuple[str, bytes], list[Execution]] = defaultdict(list)
    for execution in history.executions:
        by_key[(execution.service, execution.key)].append(execution)
    found: list[Violation] = []
    for executions in by_key.values():
        found += _check_key(sorted(executions, key=lambda each: each.started_s))
    return found


def _check_key(executions: Sequence[Execution]) -> list[Violation]:
    found: list[Violation] = []
    for position, execution in enumerate(executions):
        if execution.effect_s is None:
            continue
        for later in executions[position + 1 :]:
            if later.started_s >= execution.effect_s:
                break
            if later.server_run != execution.server_run:
                found.append(_violation(execution, later))
    return found


def _violation(execution: Execution, later: Execution) -> Violation:
    return Violation(
        NAME,
        execution.effect_s or execution.started_s,
        f"{execution.request_id} on {execution.key!r} took effect at {execution.server} "
        f"(token {execution.token:#x}) at {execution.effect_s:.3f} s, but {later.server} "
        f"(token {later.token:#x}) had begun {later.request_id} at {later.started_s:.3f} s",
    )
