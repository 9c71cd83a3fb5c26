"""A clock that stands still until a step moves it."""

import asyncio
import heapq
from itertools import count

YIELDS = 20


async def settle() -> None:
    """Let every task run until it waits for the clock."""
    for _ in range(YIELDS):
        await asyncio.sleep(0)


class ManualClock:
    """Implements `Clock`; whoever sleeps wakes when `advance` reaches its time."""

    def __init__(self) -> None:
        self._now_s = 100.0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._order = count()

    def now(self) -> float:
        """Return the reading of the clock, in seconds."""
        return self._now_s

    async def sleep(self, duration_s: float) -> None:
        """Wait until the clock has been moved by `duration_s` seconds."""
        wake = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._now_s + duration_s, next(self._order), wake))
        await wake

    async def advance(self, duration_s: float) -> None:
        """Move the clock, and let every task run that becomes due on the way."""
        end_s = self._now_s + duration_s
        await settle()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            due_s, _, wake = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, due_s)
            if not wake.done():
                wake.set_result(None)
            await settle()
        self._now_s = end_s
