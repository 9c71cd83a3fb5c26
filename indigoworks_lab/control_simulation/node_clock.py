"""The clock of a simulated gateway."""

import asyncio
from random import Random

from indigoworks_lab.simulation.core.host_clock import HostClock


class NodeClock(HostClock):
    """Goes on while its machine is suspended, as the product's `BootClock`; its sleeps do not.

    A time-out of the event loop that was due meanwhile ends when the machine goes on, though.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, random: Random) -> None:
        super().__init__(loop, random, rate=1.0)
        self._suspended_s = 0.0

    def note_suspended(self, duration_s: float) -> None:
        """Take note that the machine was suspended until now."""
        self._suspended_s += duration_s

    async def sleep(self, duration_s: float) -> None:
        """Wait for so many seconds in which the machine runs."""
        suspended_s, due_s = self._suspended_s, self.now() + duration_s
        await super().sleep(duration_s)
        while self._suspended_s > suspended_s:
            due_s += self._suspended_s - suspended_s
            suspended_s = self._suspended_s
            await super().sleep(max(0.0, due_s - self.now()))
