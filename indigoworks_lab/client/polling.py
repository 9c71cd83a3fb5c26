"""Waiting for something to come about."""

import asyncio
from collections.abc import Awaitable, Callable

POLL_INTERVAL_S = 0.05


async def becomes_true(condition: Callable[[], Awaitable[bool]], timeout_s: float) -> bool:
    """Poll `condition` until it holds, at most `timeout_s` seconds.

    :returns: whether it came to hold.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                if await condition():
                    return True
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        return False
