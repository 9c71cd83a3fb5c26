"""Closed-loop load: a fixed number of callers, each sends again once it has its answer."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_recorder import LoadRecorder
from indigoworks_lab.load.load_report import LoadReport
from indigoworks_lab.load.load_target import LoadTarget
from indigoworks_lab.load.request_source import RequestSource


class ClosedLoop:
    """Finds the throughput of a target; the plan's rate is not used.

    Latencies found here are those of a saturated target; OpenLoop gives those of a given rate.
    """

    def __init__(self, plan: LoadPlan, callers: int, target: LoadTarget, clock: Clock) -> None:
        self._plan = plan
        self._callers = callers
        self._target = target
        self._clock = clock
        self._source = RequestSource(plan)

    async def run(self) -> LoadReport:
        """Send for the plan's duration and return the result."""
        counted_from_s = self._clock.now() + self._plan.warm_up_s
        recorder = LoadRecorder(counted_from_s)
        end_s = counted_from_s + self._plan.duration_s
        await asyncio.gather(*(self._call_until(end_s, recorder) for _ in range(self._callers)))
        return recorder.report(self._plan.duration_s)

    async def _call_until(self, end_s: float, recorder: LoadRecorder) -> None:
        while (due_s := self._clock.now()) < end_s:
            outcome = await self._target.send(self._source.next_request(), self._plan.timeout_s)
            ended_s = self._clock.now()
            # Requests that end after the measured part would count time that is not measured.
            if ended_s <= end_s:
                recorder.ended(due_s, ended_s, outcome)
