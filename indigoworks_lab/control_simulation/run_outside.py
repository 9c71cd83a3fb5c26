"""Tasks that belong to no simulated process."""

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import Any


def run_outside(
    loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, None]
) -> "asyncio.Task[None]":
    """Start a task that goes on whatever befalls the process that asked for it."""
    return loop.create_task(work, context=contextvars.Context())
