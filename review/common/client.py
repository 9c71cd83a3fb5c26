"""Clients of the users: each request is a single try with an id of its own."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from http_io import HEAD_END, parse_head


@dataclass
class Got:
    """An answer as a client got it; names of `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def exchange(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 2.0,
    from_host: str = "127.0.0.1",
) -> Got | None:
    """Send a request over a new connection; None: no whole answer came."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, local_addr=(from_host, 0))
            try:
                fields = {"Host": f"{host}:{port}", "Connection": "close", **headers}
                if body or method not in ("GET", "HEAD"):
                    fields["Content-Length"] = str(len(body))
                lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
                writer.write("\r\n".join((*lines, "", "")).encode("latin-1") + body)
                return await _read(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def _read(reader: asyncio.StreamReader) -> Got:
    first, headers = parse_head((await reader.readuntil(HEAD_END)).decode("latin-1"))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Got(int(first.split(" ")[1]), headers, body)
