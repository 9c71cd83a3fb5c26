"""Counts operations in progress and waits until there are none."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InProgressCounter:
    """Number of operations in progress."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Return how many operations are in progress."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one operation while the block runs."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def wait_until_idle(self) -> None:
        """Wait until nothing is in progress."""
        await self._idle.wait()
