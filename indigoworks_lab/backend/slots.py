"""Slots of a stand-in back end and the short queue before them."""

import asyncio
from collections import deque


class Slots:
    """A number of slots, given out first come, first served."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._count = count
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return self._count - self._free

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(1 for each in self._waiting if not each.done())

    async def acquire(self) -> None:
        """Wait for a slot; a cancelled call holds none."""
        if self._free > 0:
            self._free -= 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # The slot was handed over in the same step as the cancellation.
                self.release()
            raise

    def release(self) -> None:
        """Give a slot back, or pass it on to the first in the queue."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1
