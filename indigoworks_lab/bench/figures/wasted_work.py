"""Work of servers that did nobody good."""

from collections import Counter
from collections.abc import Iterable

from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.execution_record import ExecutionRecord
from indigoworks_lab.bench.deployment.bench_server import BenchServer
from indigoworks_lab.bench.figures.call_record import CallRecord
from indigoworks_lab.bench.figures.model import Model


class WastedWork(Model):
    """Executions against answers.

    :ivar executions: requests that servers ran.
    :ivar unanswered: executions whose request was not completed for its caller.
    :ivar resent: executions of a request beyond the first.
    :ivar writes_run_twice: requests that may run once and ran more often.
    :ivar not_run_but_run: requests told "not run" that ran.
    :ivar wasted_ratio: share of the executions that are unanswered or resent.
    """

    executions: int
    unanswered: int
    resent: int
    writes_run_twice: int
    not_run_but_run: int
    wasted_ratio: float


def wasted_work(calls: Iterable[CallRecord], servers: Iterable[BenchServer]) -> WastedWork:
    """Return what was wasted on `calls`."""
    runs: Counter[str] = Counter()
    for server in servers:
        runs.update(each.request_id for each in server.history.after(0) if _has_run(each, server))
    executions = unanswered = resent = writes_run_twice = not_run_but_run = 0
    for call in calls:
        count = runs[call.request_id]
        executions += count
        if count and not call.is_completed:
            unanswered += 1
        resent += max(0, count - 1)
        writes_run_twice += count > 1 and not call.is_read
        not_run_but_run += count > 0 and call.outcome == "not-run"
    wasted = unanswered + resent
    return WastedWork(
        executions=executions,
        unanswered=unanswered,
        resent=resent,
        writes_run_twice=writes_run_twice,
        not_run_but_run=not_run_but_run,
        wasted_ratio=round(wasted / executions, 6) if executions else 0.0,
    )


def _has_run(record: ExecutionRecord, server: BenchServer) -> bool:
    """Work that a lost machine would have ended after its loss was never done."""
    is_before_loss = server.lost_at_s is None or record.ended_s <= server.lost_at_s
    return record.outcome is ExecutionOutcome.APPLIED and is_before_loss
