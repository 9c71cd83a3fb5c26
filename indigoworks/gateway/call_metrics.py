"""Calls to others, counted and timed."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from indigoworks.common.clock import Clock
from indigoworks.common.metrics import Metrics

CANCELLED = "broken_off"
"""Outcome of a call that this process gave up: it has no time."""

_Answer = TypeVar("_Answer")


class CallMetrics:
    """A counter by kind and outcome, and a histogram by kind.

    :param name: the counter is called `name`s, the histogram `name`_seconds.
    :param kind: label that tells calls apart.
    """

    def __init__(
        self, metrics: Metrics, clock: Clock, name: str, description: str, kind: str
    ) -> None:
        self._clock = clock
        self._ended = metrics.counter(f"{name}s", description, kind, "outcome")
        self._elapsed_s = metrics.histogram(f"{name}_seconds", f"{description}: time", kind)

    async def observe(
        self, kind: str, answer: Awaitable[_Answer], outcome_of: Callable[[_Answer], str]
    ) -> _Answer:
        """Wait for an answer, and count it."""
        started_s = self._clock.now()
        try:
            result = await answer
        except asyncio.CancelledError:
            self._ended.add(kind, CANCELLED)
            raise
        self._elapsed_s.add(self._clock.now() - started_s, kind)
        self._ended.add(kind, outcome_of(result))
        return result
