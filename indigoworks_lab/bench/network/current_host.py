"""Which simulated host the running task belongs to."""

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import Any, TypeVar

CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("bench_host", default="")
"""Host of the running task; tasks inherit it from those that start them."""

ResultT = TypeVar("ResultT")


def spawn_on(host: str, work: Coroutine[Any, Any, ResultT]) -> "asyncio.Task[ResultT]":
    """Run `work` as a task of `host`."""
    context = contextvars.copy_context()
    context.run(CURRENT_HOST.set, host)
    return asyncio.get_running_loop().create_task(work, context=context)
