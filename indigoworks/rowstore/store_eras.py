"""In which era the store is, as far as this process knows."""

import asyncio
from collections.abc import Callable

from eliot import log_message


class StoreEras:
    """The newest era that anybody has named.

    A new era begins here with the first word of it: an answer of the store, of a relay, or a report
    of a peer. What was read in an earlier one may be gone from the store.

    :ivar current: the newest known era; 0 until one is known.
    """

    def __init__(self) -> None:
        self.current = 0
        self._known = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._waiting: list[asyncio.Future[None]] = []

    def on_new(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever an era ends and another one begins."""
        self._listeners.append(listener)

    def record_era(self, era: int, told_by: str = "store") -> None:
        """Take note that somebody has named an era.

        :param told_by: the peer that told of it, for the log.
        """
        is_first = not self._known.is_set()
        self._known.set()
        if era <= self.current:
            return
        before, self.current = self.current, era
        log_message(
            message_type="store:era",
            level="INFO" if is_first else "WARNING",
            era=era,
            before=None if is_first else before,
            told_by=told_by,
        )
        if not is_first:
            for listener in self._listeners:
                listener()
        waiting, self._waiting = self._waiting, []
        for begun in waiting:
            if not begun.done():
                begun.set_result(None)

    @property
    def is_known(self) -> bool:
        """Tell whether any era is known."""
        return self._known.is_set()

    async def wait_after(self, era: int) -> None:
        """Return once a later era is known."""
        while self.current <= era:
            begun = asyncio.get_running_loop().create_future()
            self._waiting.append(begun)
            await begun

    async def wait_known(self) -> None:
        """Return once any era is known."""
        await self._known.wait()
