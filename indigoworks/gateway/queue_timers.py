"""Looks at lines again when a server's next turn comes."""

import asyncio
from collections.abc import Callable

from indigoworks.gateway.placement_queue import PlacementQueue


class QueueTimers:
    """Keeps one timer a line at most, for the earliest turn that was asked for.

    :param look: looks at a line.
    """

    def __init__(self, look: Callable[[PlacementQueue], None]) -> None:
        self._on_due = look
        self._timers: dict[PlacementQueue, asyncio.TimerHandle] = {}

    def schedule(self, line: PlacementQueue, after_s: float) -> None:
        """Look at a line in `after_s` seconds, unless that comes earlier in any case."""
        loop = asyncio.get_running_loop()
        known = self._timers.get(line)
        if known is not None:
            if known.when() <= loop.time() + after_s:
                return
            known.cancel()
        self._timers[line] = loop.call_later(after_s, self._run, line)

    def _run(self, line: PlacementQueue) -> None:
        del self._timers[line]
        self._on_due(line)
