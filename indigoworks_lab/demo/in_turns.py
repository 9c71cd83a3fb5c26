"""Many calls, a few at a time."""

import asyncio
from collections.abc import Awaitable, Iterable

from indigoworks_lab.client.call_answer import CallAnswer

CALLS_AT_A_TIME = 6
"""So few that no server sheds: the demo shows shedding nowhere, and its servers start cold."""


async def in_turns(calls: Iterable[Awaitable[CallAnswer]]) -> list[CallAnswer]:
    """Make all calls, at most CALLS_AT_A_TIME at a time, and return the answers in order."""
    turns = asyncio.Semaphore(CALLS_AT_A_TIME)

    async def make(call: Awaitable[CallAnswer]) -> CallAnswer:
        async with turns:
            return await call

    return list(await asyncio.gather(*(make(call) for call in calls)))
