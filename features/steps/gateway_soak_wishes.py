"""What servers of a soak ask for, whichever is at the place when it begins."""

import asyncio


async def ask_for_rest(server_at, rest) -> None:
    """Let a server turn all away for a while."""
    await asyncio.sleep(rest.at_s)
    server = server_at(rest.place)
    server.rests.append(rest.rest_s)
    await asyncio.sleep(rest.for_s)
    server.rests.remove(rest.rest_s)


async def name_limit(server_at, limit) -> None:
    """Let a server name a limit for a while."""
    await asyncio.sleep(limit.at_s)
    server = server_at(limit.place)
    server.name_limit(limit.per_s)
    await asyncio.sleep(limit.for_s)
    server.drop_limit(limit.per_s)
