"""Monotonic clock that also counts the time for which the machine was suspended."""

import asyncio
import time


class BootClock:
    """The kernel's clock since the machine's boot; implements `Clock`.

    The event loop's clock stops while a machine is suspended. With it a leader would still consider
    its proof of leadership fresh after a resume, long after another leader has taken over.
    """

    def now(self) -> float:
        """Return the seconds since the machine's boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration_s: float) -> None:
        """Wait on the event loop for `duration_s` seconds; a suspension prolongs the wait."""
        await asyncio.sleep(duration_s)
