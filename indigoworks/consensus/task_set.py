"""A set of background tasks that end together."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from eliot import log_message


class TaskSet:
    """Starts background tasks, logs those that fail, and cancels all at the end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """Start `work` as a task called `name`."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def cancel(self) -> None:
        """Cancel all tasks that still run, except the one that calls."""
        current = asyncio.current_task()
        for task in list(self._tasks):
            if task is not current:
                task.cancel()

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_message(
                message_type="consensus:task_failed", task=task.get_name(), error=repr(error)
            )
