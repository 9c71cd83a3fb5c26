"""Monotonic time of a process, with the time for which its machine was suspended."""

import asyncio
import time


class BootClock:
    """The kernel's clock since the machine's boot; implements `Clock`.

    The event loop's clock stands still while a machine is suspended. By it a leader would take its
    proof of leadership for fresh when its machine goes on, long after another leader took over.
    """

    def now(self) -> float:
        """Return the seconds since the boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration_s: float) -> None:
        """Wait on the event loop for `duration_s` seconds; a suspension makes it longer."""
        await asyncio.sleep(duration_s)
