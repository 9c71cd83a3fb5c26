"""The call that makes a server process of a soak apply its next grant late."""

import asyncio
import json

from indigoworks_lab.launcher.free_ports import LOOPBACK

DELAY_PATH = "/delay-next-grant"
MS_PER_S = 1000.0
ANSWER_MARGIN_S = 0.5


async def delay_next_grant(port: int, delay_s: float, timeout_s: float) -> bool:
    """Return whether a grant to the server at `port` came within `timeout_s`, and is delayed."""
    order = {"delay_ms": int(delay_s * MS_PER_S), "timeout_ms": int(timeout_s * MS_PER_S)}
    body = json.dumps(order).encode()
    head = f"POST {DELAY_PATH} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(timeout_s + ANSWER_MARGIN_S):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            try:
                writer.write(head.encode() + body)
                return b" 200 " in await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return False
