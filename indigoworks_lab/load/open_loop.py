"""Open-loop load: requests start when they are due, whatever the answers do."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_recorder import LoadRecorder
from indigoworks_lab.load.load_report import LoadReport
from indigoworks_lab.load.load_request import LoadRequest
from indigoworks_lab.load.load_target import LoadTarget
from indigoworks_lab.load.request_source import RequestSource

UNDER_WAY_LIMIT = 5000
"""Requests under way at which further ones are skipped, so that memory stays bounded."""


class OpenLoop:
    """Sends a plan's requests to a target.

    Latencies count from the moment a request was due: a slow target cannot hide its delay by
    slowing the generator down.
    """

    def __init__(self, plan: LoadPlan, target: LoadTarget, clock: Clock) -> None:
        self._plan = plan
        self._target = target
        self._clock = clock
        self._source = RequestSource(plan)
        self._under_way: set[asyncio.Task[None]] = set()

    async def run(self) -> LoadReport:
        """Send the whole plan, wait for the answers and return the result."""
        first_s = self._clock.now()
        recorder = LoadRecorder(counted_from_s=first_s + self._plan.warm_up_s)
        last_s = first_s + self._plan.warm_up_s + self._plan.duration_s
        due_s = first_s + self._source.next_gap_s()
        while due_s < last_s:
            await self._wait_until(due_s)
            self._start(due_s, recorder)
            due_s += self._source.next_gap_s()
        await asyncio.gather(*self._under_way)
        return recorder.report(self._plan.duration_s)

    async def _wait_until(self, due_s: float) -> None:
        remaining_s = due_s - self._clock.now()
        # Yield also when late, so that the answers are read.
        await self._clock.sleep(max(0.0, remaining_s))

    def _start(self, due_s: float, recorder: LoadRecorder) -> None:
        request = self._source.next_request()
        if len(self._under_way) >= UNDER_WAY_LIMIT:
            recorder.ended(due_s, self._clock.now(), LoadOutcome.SKIPPED)
            return
        recorder.started(due_s, self._clock.now())
        task = asyncio.ensure_future(self._send(request, due_s, recorder))
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    async def _send(self, request: LoadRequest, due_s: float, recorder: LoadRecorder) -> None:
        outcome = await self._target.send(request, self._plan.timeout_s)
        recorder.ended(due_s, self._clock.now(), outcome)
