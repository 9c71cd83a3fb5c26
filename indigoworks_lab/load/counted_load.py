"""A fixed number of requests from a fixed number of callers."""

import asyncio

from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_target import LoadTarget
from indigoworks_lab.load.request_source import RequestSource


class CountedLoad:
    """Sends the first requests of a plan, as fast as they are answered."""

    def __init__(self, plan: LoadPlan, requests: int, target: LoadTarget) -> None:
        self._plan = plan
        self._source = RequestSource(plan)
        self._left = requests
        self._target = target
        self._completed = 0

    async def run(self, callers: int) -> int:
        """Send all requests and return how many were completed."""
        await asyncio.gather(*(self._call() for _ in range(callers)))
        return self._completed

    async def _call(self) -> None:
        while self._left > 0:
            self._left -= 1
            request = self._source.next_request()
            outcome = await self._target.send(request, self._plan.timeout_s)
            self._completed += outcome is LoadOutcome.COMPLETED
