"""Processes that run seeds."""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context


def worker_processes(jobs: int) -> ProcessPoolExecutor:
    """Return a pool that fails, and does not wait for ever, when one of its processes dies.

    Its processes are never replaced: with `max_tasks_per_child` Python 3.11 was seen to hang once
    all of them were due at about the same time.
    """
    return ProcessPoolExecutor(jobs, mp_context=get_context("spawn"))
