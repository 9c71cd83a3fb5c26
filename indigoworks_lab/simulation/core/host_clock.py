"""The monotonic clock of one simulated process."""

import asyncio
from random import Random

MAX_DRIFT = 0.01
"""Largest deviation of a clock's rate from true time, as a ratio; the product's stated bound."""

MAX_OFFSET_S = 100_000.0


class HostClock:
    """A clock with an offset of its own and a constant rate within MAX_DRIFT of true time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, random: Random, rate: float | None = None
    ) -> None:
        """Draw offset and rate.

        :param rate: the rate, where it is not to be drawn.
        """
        self._loop = loop
        self._offset_s = random.uniform(1.0, MAX_OFFSET_S)
        # The extremes break a rule that counts without margin; they are drawn often.
        extremes = (1.0 - MAX_DRIFT, 1.0 + MAX_DRIFT)
        drawn = random.choice((*extremes, random.uniform(*extremes)))
        self._rate = drawn if rate is None else rate

    @property
    def rate(self) -> float:
        """Seconds of this clock per second of true time."""
        return self._rate

    def now(self) -> float:
        """Return the reading of the clock, in seconds."""
        return self._offset_s + self._rate * self._loop.time()

    def stand_still(self, duration_s: float) -> None:
        """Lose so many seconds of true time, as on a machine that was suspended until now."""
        self._offset_s -= self._rate * duration_s

    def true_time(self, reading_s: float) -> float:
        """Return the true time at which this clock shows `reading_s`."""
        return (reading_s - self._offset_s) / self._rate

    async def sleep(self, duration_s: float) -> None:
        """Wait until this clock has advanced by `duration_s` seconds."""
        await asyncio.sleep(duration_s / self._rate)
