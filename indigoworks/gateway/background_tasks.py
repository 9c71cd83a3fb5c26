"""Background tasks of a process."""

import asyncio
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.common.supervision import MAX_DELAY_S, STABLE_S, Work, supervise

MAX_FAILURES = 3
"""Failures in a row from which a part counts as failing."""


@dataclass(frozen=True, slots=True)
class _Failure:
    count: int
    at_s: float


class BackgroundTasks:
    """Runs the parts of a process until they are cancelled together.

    A part that raises an exception is started again, as the process would otherwise serve on by
    what the part knew last. While it keeps failing, the process is not ready.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self._failures: dict[str, _Failure] = {}

    def start(self, name: str, work: Work) -> None:
        """Start a part; `work` is called again after each failure."""

        def record(count: int) -> None:
            self._failures[name] = _Failure(count, self._clock.now())

        work_until_cancelled = supervise(name, work, self._clock, record)
        self._tasks.append(asyncio.ensure_future(work_until_cancelled))

    def failing(self) -> list[str]:
        """Return the names of the parts that keep failing."""
        earliest_s = self._clock.now() - STABLE_S - MAX_DELAY_S
        return [
            name
            for name, failure in self._failures.items()
            if failure.count >= MAX_FAILURES and failure.at_s >= earliest_s
        ]

    def cancel_all(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
