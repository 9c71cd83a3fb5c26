"""What waits in the kernel of a server whose process stands still."""

import asyncio
from random import Random


class ServerQueue:
    """Accepts connections and their bytes while the process is paused, up to a backlog.

    A message whose sender gave up and reset the connection stays: the process reads it when it
    goes on, as on Linux.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pauses = 0
        self._backlog = 0
        self._waiting: list[asyncio.Future[None]] = []

    @property
    def is_paused(self) -> bool:
        """Tell whether the process stands still."""
        return self._pauses > 0

    def pause(self, backlog: int) -> None:
        """Stop the process; so many connections are accepted until it goes on."""
        self._pauses += 1
        self._backlog = backlog

    def resume(self, random: Random | None) -> None:
        """End one pause; what waited goes on in order of arrival, or in a drawn order."""
        self._pauses -= 1
        if self.is_paused:
            return
        waiting, self._waiting = self._waiting, []
        if random is not None:
            random.shuffle(waiting)
        for each in waiting:
            each.set_result(None)

    def accepts(self) -> bool:
        """Take a connection; False: the queue is full, and its sender hears nothing."""
        if not self.is_paused:
            return True
        self._backlog -= 1
        return self._backlog >= 0

    async def turn(self) -> bool:
        """Return when the process takes this up; tells whether it had to wait."""
        is_waiting = self.is_paused
        while self.is_paused:
            wakes = self._loop.create_future()
            self._waiting.append(wakes)
            await wakes
        return is_waiting
