"""Counter and duration histogram of outgoing calls."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from indigoworks.common.clock import Clock
from indigoworks.common.metrics import Metrics

CANCELLED = "broken_off"
"""Outcome of a call that this process cancelled; it has no duration."""

_Answer = TypeVar("_Answer")


class CallMetrics:
    """A counter of calls by kind and outcome, and a histogram of durations by kind.

    :param name: prefix of the metrics `name`s (counter) and `name`_seconds (histogram).
    :param kind: label of the kind of call.
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
        """Await a call, count it and record its duration."""
        started_s = self._clock.now()
        try:
            result = await answer
        except asyncio.CancelledError:
            self._ended.add(kind, CANCELLED)
            raise
        self._elapsed_s.add(self._clock.now() - started_s, kind)
        self._ended.add(kind, outcome_of(result))
        return result
