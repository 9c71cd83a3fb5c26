"""A client: single attempts, each over a connection of its own or a kept one."""

import asyncio
import secrets
import time
from contextlib import suppress
from dataclasses import dataclass

from http_stream import Message, encode, read_message


@dataclass
class Outcome:
    """What became of one attempt."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_s: float
    ended_s: float
    detail: str = ""


async def call(
    front: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 2000,
    key: int | None = None,
    headers: dict[str, str] | None = None,
    attempt: str = "",
) -> Outcome:
    """Send one attempt and return what became of it."""
    attempt = attempt or secrets.token_hex(8)
    fields = {
        "Host": "a.example",
        "X-Indigoworks-Attempt-Id": attempt,
        "X-Indigoworks-Deadline-Ms": str(deadline_ms),
        **({} if key is None else {"X-Indigoworks-Shard-Key": str(key)}),
        **(headers or {}),
    }
    host, _, port = front.partition(":")
    sent_s = time.monotonic()
    answer, detail = Message("HTTP/1.1 0 none", {}, b""), ""
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            answer = await read_message(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        detail = type(error).__name__
    finally:
        if writer is not None:
            with suppress(OSError):
                writer.close()
    return Outcome(
        attempt, answer.status, answer.headers, answer.body, sent_s, time.monotonic(), detail
    )
