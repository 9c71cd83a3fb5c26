"""Signal that wakes tasks which wait for a change."""

import asyncio


class ChangeSignal:
    """Wakes all waiting tasks after a change; they must check their condition again."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next call of `notify`."""
        await self._event.wait()
