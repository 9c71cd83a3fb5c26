"""Makes a server apply one grant late."""

import asyncio


class GrantDelay:
    """Delays the next grant after `arm`; the grants after it are not delayed."""

    def __init__(self) -> None:
        self._delay_s: float | None = None
        self._begun = asyncio.Event()

    async def arm(self, delay_s: float, timeout_s: float) -> bool:
        """Delay the next grant; returns whether one came within `timeout_s`."""
        self._delay_s = delay_s
        self._begun.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._begun.wait()
        except TimeoutError:
            self._delay_s = None
        return self._begun.is_set()

    def take(self) -> float | None:
        """Return the delay of a grant that has arrived; None: it is not delayed."""
        delay_s, self._delay_s = self._delay_s, None
        if delay_s is not None:
            self._begun.set()
        return delay_s
