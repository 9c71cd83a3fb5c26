"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Message:
    """A request or an answer: first line, headers by lower-case name, and the whole body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.removesuffix("\r\n\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or comes in chunks."""
    first, headers = await read_head(reader)
    while first.startswith("HTTP/1.1 1"):
        first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(first, headers, await _read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    return Message(first, headers, await reader.readexactly(length))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if size == 0:
            return b"".join(parts)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body
