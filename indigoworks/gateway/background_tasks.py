"""Background tasks of a process."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from eliot import log_message


class BackgroundTasks:
    """Runs tasks until they are cancelled together.

    An exception ends its task but not the process, and is logged.
    """

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        self._tasks.append(asyncio.ensure_future(_guarded(work)))

    def cancel_all(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()


async def _guarded(work: Coroutine[Any, Any, None]) -> None:
    try:
        await work
    except asyncio.CancelledError:
        raise
    except Exception as error:
        log_message(
            message_type="process:fault",
            level="ERROR",
            reason=f"{type(error).__name__}: {error}",
        )
        raise
