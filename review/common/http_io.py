"""HTTP/1.1 for the stand-ins: reads whole requests, writes whole answers."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 256 * 1024


@dataclass
class Request:
    """A request; names of `headers` are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer: str


@dataclass
class Answer:
    """An answer; `surplus` follows it once the next request has arrived on the connection."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    surplus: bytes = b""
    closes: bool = False


Handler = Callable[[Request], Awaitable[Answer | None]]
"""Returns the answer to a request; None: there is none, and the connection is reset."""


def encode(answer: Answer) -> bytes:
    """Return the bytes of an answer."""
    fields = {"Content-Length": str(len(answer.body)), **answer.headers}
    if answer.closes:
        fields["Connection"] = "close"
    lines = [f"HTTP/1.1 {answer.status} X", *(f"{key}: {fields[key]}" for key in fields)]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + answer.body


async def read_request(reader: asyncio.StreamReader, peer: str) -> Request:
    """Read one request."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, headers = parse_head(head)
    method, target, _ = first.split(" ")
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body, peer)


def parse_head(head: str) -> tuple[str, dict[str, str]]:
    """Return the first line of a head, and its fields by name in lower case."""
    first, *lines = head.removesuffix("\r\n\r\n").split("\r\n")
    pairs = (each.partition(":") for each in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_body(reader: asyncio.StreamReader, headers: Mapping[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serve a connection, one request at a time; work ends when the caller closes it."""
    peer = writer.get_extra_info("peername")[0]
    surplus = b""
    try:
        while True:
            request = await read_request(reader, peer)
            if surplus:
                writer.write(surplus)
                surplus = b""
            answer = await _run_while_open(handler, request, reader)
            if answer is None:
                writer.transport.abort()
                return
            writer.write(encode(answer))
            surplus = answer.surplus
            await writer.drain()
            if answer.closes:
                return
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        pass
    finally:
        writer.transport.abort() if surplus else writer.close()


async def _run_while_open(
    handler: Handler, request: Request, reader: asyncio.StreamReader
) -> Answer | None:
    """Run the handler; end it when the caller closes its connection."""
    running = asyncio.ensure_future(handler(request))
    try:
        while not running.done():
            await asyncio.wait({running}, timeout=0.02)
            if not running.done() and (reader.at_eof() or reader.exception() is not None):
                return None
        return running.result()
    finally:
        running.cancel()


class HttpServer:
    """Listens at a loopback address and serves its connections with one handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, host: str, port: int = 0) -> None:
        """Listen; port 0: at a free one."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEAD_BYTES, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for each in list(self._writers):
            each.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await serve_connection(self._handler, reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
