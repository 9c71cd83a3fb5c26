"""Detects the end of a task that should run until it is cancelled."""

import asyncio
from collections.abc import Sequence


async def wait_for_failure(tasks: Sequence["asyncio.Task[None]"]) -> str:
    """Wait until one of `tasks`, all meant to run until cancelled, ends by itself.

    :returns: text for logs: which task ended, and why.
    """
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    task = next(iter(done))
    if task.cancelled():
        return f"{task.get_name()} was cancelled"
    return f"{task.get_name()} ended: {task.exception()!r}"
