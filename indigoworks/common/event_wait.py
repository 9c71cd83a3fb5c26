"""Waiting for an event."""

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set, at most `timeout_s` seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
