"""Letting go of a run."""

import gc
import sys
import warnings
from collections.abc import Iterator
from contextlib import contextmanager

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
        loop.close()
        loop.tasks.clear()
        loop.task_info.clear()
        loop._task_lanes.clear()
        loop._held.clear()
        loop._net = None
        gc.collect()


def _ignore(_unraisable: object) -> None:
    """Take no notice."""
