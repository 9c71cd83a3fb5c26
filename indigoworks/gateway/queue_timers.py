"""Timers that serve a queue when the rate limit of its servers permits a request."""

import asyncio
from collections.abc import Callable

from indigoworks.gateway.placement_queue import PlacementQueue


class QueueTimers:
    """Keeps at most one timer per queue, for the earliest requested time.

    :param on_due: serves a queue.
    """

    def __init__(self, on_due: Callable[[PlacementQueue], None]) -> None:
        self._on_due = on_due
        self._timers: dict[PlacementQueue, asyncio.TimerHandle] = {}

    def schedule(self, queue: PlacementQueue, after_s: float) -> None:
        """Call `on_due` for a queue in `after_s` seconds, unless an earlier call is scheduled;
        0: nothing is to be awaited."""
        if after_s <= 0:
            return
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
