"""Counts work in progress and tells when there is none."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InProgressCounter:
    """Number of pieces of work in progress."""

    def __init__(self) -> None:
        self._count = 0
        self._none = asyncio.Event()
        self._none.set()

    @property
    def count(self) -> int:
        """Return how many are in progress."""
        return self._count

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one piece of work while the block runs."""
        self._count += 1
        self._none.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._none.set()

    async def wait_until_idle(self) -> None:
        """Wait until nothing is in progress."""
        await self._none.wait()
