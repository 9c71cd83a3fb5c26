"""Era of the store, as far as this process knows.

An era is the time between two restores of the store from a copy; a restore may lose rows.
"""

import asyncio
from collections.abc import Callable

from eliot import log_message


class StoreEras:
    """The newest era that this process has learned of.

    A new era begins here with the first message that names it: a response of the store or of a
    relay, or a report of a peer.

    :ivar current: the newest known era; 0 until one is known.
    """

    def __init__(self) -> None:
        self.current = 0
        self._known = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._waiting: list[asyncio.Future[None]] = []

    def on_new(self, listener: Callable[[], None]) -> None:
        """Add a listener that is called when an era ends and another one begins."""
        self._listeners.append(listener)

    def record_era(self, era: int, told_by: str = "store") -> None:
        """Record an era that a message names.

        :param told_by: the peer that reported it, for the log.
        """
        is_first = not self._known.is_set()
        self._known.set()
        if era <= self.current:
            return
        previous, self.current = self.current, era
        log_message(
            message_type="store:era",
            level="INFO" if is_first else "WARNING",
            era=era,
            before=None if is_first else previous,
            told_by=told_by,
        )
        if not is_first:
            for listener in self._listeners:
                listener()
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    @property
    def is_known(self) -> bool:
        """Return whether any era is known."""
        return self._known.is_set()

    async def wait_after(self, era: int) -> None:
        """Return once a later era is known."""
        while self.current <= era:
            future = asyncio.get_running_loop().create_future()
            self._waiting.append(future)
            await future

    async def wait_known(self) -> None:
        """Return once any era is known."""
        await self._known.wait()
