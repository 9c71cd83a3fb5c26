"""Port to a monotonic clock, and the event loop's clock behind it."""

import asyncio
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock of one process, in seconds since an arbitrary moment.

    Readings of different processes are not comparable. Simulations use clocks that drift or freeze.
    """

    def now(self) -> float:
        """Return the reading of the clock, in seconds."""
        ...

    async def sleep(self, duration_s: float) -> None:
        """Wait until the clock has advanced by `duration_s` seconds."""
        ...


class LoopClock:
    """The clock of the running event loop; virtual under the simulations' loop."""

    def now(self) -> float:
        """Return the loop's monotonic time, in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, duration_s: float) -> None:
        """Wait on the event loop for `duration_s` seconds."""
        await asyncio.sleep(duration_s)
