"""Waiting for a condition that nothing signals."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.1


async def poll_until(condition: Callable[[], bool]) -> None:
    """Wait until `condition` holds, looking every POLL_INTERVAL_S of true time."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
