"""Letting go of a run."""

import gc
import sys
import warnings
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from types import CoroutineType

from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop


@contextmanager
def silent_disposal() -> Iterator[None]:
    """Take no notice of coroutines that complain when they are thrown away.

    Coroutines of a run that has ended, and those of killed processes, are closed by the collector
    outside of any loop, where their `finally` blocks cannot work. That says nothing about the run.
    """
    reporting = sys.unraisablehook
    sys.unraisablehook = _ignore
    try:
        with warnings.catch_warnings(action="ignore", category=RuntimeWarning):
            yield
    finally:
        sys.unraisablehook = reporting


def dispose(loop: FaultyLoop) -> None:
    """Let go of all tasks of the loop; they never run again."""
    with silent_disposal():
        loop.abandon()
        _close_tasks(loop)
        loop.close()
        loop.tasks.clear()
        loop.task_info.clear()
        loop._task_lanes.clear()
        loop._held.clear()
        loop._net = None
        gc.collect()


def _close_tasks(loop: FaultyLoop) -> None:
    """Close what still runs, one after the other.

    Left to the collector, Python 3.11 was seen to end with a segmentation fault while it closed
    coroutines that wait within `asyncio.timeout`.
    """
    for task in loop.tasks:
        coroutine = task.get_coro()
        if not task.done() and isinstance(coroutine, CoroutineType):
            with suppress(RuntimeError):
                coroutine.close()


def _ignore(_unraisable: object) -> None:
    """Take no notice."""
