"""A server that answers each request as the scenario says and keeps what it received."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks_lab.crash_simulation.simulated_names import NAMES

RESET = struct.pack("ii", 1, 0)
CHUNK_BYTES = 2**16
BODY = b"the server's bytes"
SURPLUS_BODY = b"an answer to another request"


@dataclass(frozen=True)
class SeenRequest:
    """`connection` numbers the server's connections from 1."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: int

    def header(self, name: str) -> str | None:
        found = [value for known, value in self.headers if known.lower() == name.lower()]
        return found[0] if found else None


def answer(request, status=200, body=BODY, headers=(), request_id=None, length=None):
    """Return the bytes of an answer; `length` None: the length of `body`; "": none is named."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"{NAMES.request_id}: {request_id or request.header(NAMES.request_id)}",
        f"{NAMES.signature}: signed",
        *headers,
    ]
    if length != "":
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join((*lines, "", "")).encode() + body


Behaviour = Callable[["ScriptedServer", SeenRequest, asyncio.StreamWriter], Awaitable[bool]]
"""Answers one request; returns whether the server goes on with the connection."""


async def whole(server, request, writer):
    writer.write(answer(request))
    return True


async def not_run(server, request, writer):
    writer.write(answer(request, 503, b"full", (f"{NAMES.not_run}: full",)))
    return True


async def misdirected(server, request, writer):
    writer.write(answer(request, 421, b"not me"))
    return True


async def failure(server, request, writer):
    writer.write(answer(request, 500, b"it failed"))
    return True


async def last_on_connection(server, request, writer):
    writer.write(answer(request, headers=("Connection: close",)))
    return True


async def hop_headers(server, request, writer):
    headers = ("Connection: X-Hop", "X-Hop: 1", "Keep-Alive: timeout=5", "X-End: 1", "X-End: 2")
    writer.write(answer(request, headers=headers))
    return True


async def lost(server, request, writer):
    return False


async def cut_short(server, request, writer):
    writer.write(answer(request, length=len(BODY) + 1))
    return False


async def surplus_first(server, request, writer):
    writer.write(answer(request, body=SURPLUS_BODY, request_id="another"))
    writer.write(answer(request))
    return True


async def surplus_only(server, request, writer):
    writer.write(answer(request, body=SURPLUS_BODY, request_id="another"))
    return False


async def extra_bytes(server, request, writer):
    writer.write(answer(request) + b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n?")
    return True


async def no_http(server, request, writer):
    writer.write(b"these bytes are no answer\r\n\r\n")
    return True


async def no_length_closed(server, request, writer):
    writer.write(answer(request, length="", headers=("Connection: close",)))
    return False


async def no_length_reset(server, request, writer):
    writer.write(answer(request, length="", headers=("Connection: close",)))
    await writer.drain()
    # The caller reads what came before the reset: a reset at once would overtake it.
    await asyncio.sleep(0.05)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    return False


async def held(server, request, writer):
    """Answer when the scenario says so; note when the connection is closed before."""
    await server.turns.acquire()
    # Before the answer goes out: the caller may send the next request at once.
    server.working.discard(request)
    writer.write(answer(request))
    return True


async def held_then_not_run(server, request, writer):
    """As `held`; the answer says that the request has not run."""
    await server.turns.acquire()
    server.working.discard(request)
    return await not_run(server, request, writer)


async def silent(server, request, writer):
    await asyncio.Event().wait()
    return True


async def end(server, request, writer):
    """The process ends: nobody listens any more, and all connections are reset."""
    await server.stop()
    for each in list(server.writers):
        each.transport.abort()
    return False


async def slow_then_not_run(server, request, writer):
    server.pass_time(server.slow_s)
    return await not_run(server, request, writer)


async def slow(server, request, writer):
    server.pass_time(server.slow_s)
    return await whole(server, request, writer)


BEHAVIOURS: dict[str, Behaviour] = {
    "answers": whole,
    "says not run": not_run,
    "says misdirected": misdirected,
    "answers 500": failure,
    "answers and leaves": last_on_connection,
    "answers with hop headers": hop_headers,
    "loses the answer": lost,
    "cuts the answer short": cut_short,
    "sends a surplus answer first": surplus_first,
    "sends a surplus answer only": surplus_only,
    "sends more after its answer": extra_bytes,
    "sends no HTTP": no_http,
    "sends no length and closes": no_length_closed,
    "sends no length and resets": no_length_reset,
    "holds": held,
    "holds and says not run": held_then_not_run,
    "is silent": silent,
    "says not run later": slow_then_not_run,
    "answers slowly": slow,
    "ends": end,
}


class ScriptedServer:
    """Request number n is answered by behaviour n; the last behaviour goes on.

    :ivar turns: each lets one request go on that is held.
    :ivar slow_s: by how much slow behaviours move the clock ahead, in seconds.
    :ivar gone: set when a connection ends while the server works on a request.
    :ivar reads_body_late: answers before it has read a body, then reads on into `early_body`.
    """

    def __init__(self, behaviours: list[str]) -> None:
        self.behaviours = [BEHAVIOURS[each] for each in behaviours]
        self.requests: list[SeenRequest] = []
        self.connections = 0
        self.most_at_work = 0
        self.working: set[SeenRequest] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.turns = asyncio.Semaphore(0)
        self.slow_s = 1.0
        self.gone = asyncio.Event()
        self.reads_body_late = False
        self.early_body = b""
        self.pass_time: Callable[[float], None] = lambda duration_s: None

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        self._server.close()

    def go_on(self, count: int = 1000) -> None:
        """Let requests that are held be answered."""
        for _ in range(count):
            self.turns.release()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        number = self.connections
        closing = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*closing):
            while await self._one(reader, writer, number):
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _one(self, reader, writer, number: int) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        method, target, _ = first.split(" ")
        headers = tuple((line.split(": ", 1)[0], line.split(": ", 1)[1]) for line in lines)
        request = SeenRequest(method, target, headers, b"", number)
        length = int(request.header("Content-Length") or 0)
        if self.reads_body_late and length:
            await self._answer_early(request, reader, writer)
            return False
        body = await reader.readexactly(length)
        request = SeenRequest(method, target, headers, body, number)
        self.requests.append(request)
        return await self._work(self._behaviour(), request, reader, writer)

    def _behaviour(self) -> Behaviour:
        return self.behaviours[min(len(self.requests), len(self.behaviours)) - 1]

    async def _answer_early(self, request, reader, writer) -> None:
        """Answer while most of the body is still to come, then read on."""
        self.requests.append(request)
        chunks = [await reader.read(CHUNK_BYTES)]
        await self._behaviour()(self, request, writer)
        await writer.drain()
        try:
            while chunks[-1]:
                chunks.append(await reader.read(CHUNK_BYTES))
        except OSError:
            pass
        self.early_body = b"".join(chunks)
        self.gone.set()

    async def _work(self, behaviour, request, reader, writer) -> bool:
        self.working.add(request)
        self.most_at_work = max(self.most_at_work, len(self.working))
        working = asyncio.ensure_future(behaviour(self, request, writer))
        # A caller sends nothing more before its answer: what can be read is the end.
        ending = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({working, ending}, return_when=asyncio.FIRST_COMPLETED)
            if not working.done():
                self.gone.set()
                return False
            return working.result()
        finally:
            self.working.discard(request)
            for each in (working, ending):
                each.cancel()
            await asyncio.gather(working, ending, return_exceptions=True)
