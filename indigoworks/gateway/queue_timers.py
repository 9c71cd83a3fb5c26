"""Looks at queues again when a server's next turn comes."""

import asyncio
from collections.abc import Callable

from indigoworks.gateway.placement_queue import PlacementQueue


class QueueTimers:
    """Keeps one timer a queue at most, for the earliest turn that was asked for.

    :param look: looks at a queue.
    """

    def __init__(self, look: Callable[[PlacementQueue], None]) -> None:
        self._on_due = look
        self._timers: dict[PlacementQueue, asyncio.TimerHandle] = {}

    def schedule(self, queue: PlacementQueue, after_s: float) -> None:
        """Look at a queue in `after_s` seconds, unless that comes earlier in any case."""
        loop = asyncio.get_running_loop()
        known = self._timers.get(queue)
        if known is not None:
            if known.when() <= loop.time() + after_s:
                return
            known.cancel()
        self._timers[queue] = loop.call_later(after_s, self._run, queue)

    def _run(self, queue: PlacementQueue) -> None:
        del self._timers[queue]
        self._on_due(queue)
