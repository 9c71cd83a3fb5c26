"""A stand-in for a target: runs requests on slots, holds keys, and registers itself."""

import asyncio
import json
import secrets
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from fleet import free_port
from http_stream import Message, encode, read_message
from owner_check import Span, Taken
from store import Store

HEARTBEAT_S = 0.8
KEYS = 65536
Behaviour = Callable[["Target", Message, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request in its own way; returns False if the usual answer is due."""


class Target:
    """One target; it queues beyond its slots and serves one request at a time on a connection.

    :ivar runs: (time, attempt id, first line, port of the sender, key or -1, token).
    :ivar notes: what else was seen, by time.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        slots: int = 4,
        work_s: float = 0.05,
        is_keyed: bool = False,
        zone: str = "z1",
    ) -> None:
        self.store = Store()
        self.server_id, self.service = server_id, service
        self.slots, self.work_s, self.is_keyed, self.zone = slots, work_s, is_keyed, zone
        self.runs: list[tuple[float, str, str, int, int, int]] = []
        self.notes: list[tuple[float, str]] = []
        self.extra: dict[str, str] = {}
        self.behaviour: Behaviour | None = None
        self.state = "ready"
        self.address = ""
        self.born: int | None = None
        self.seq = 0
        self.is_listed = True
        self.lease: list[tuple[int, int, int, float]] = []
        self.taken: list[Taken] = []
        self.spans: list[Span] = []
        self.life = 0
        self._seen: dict[int, int] = {}
        self._slots = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Return whether it listens."""
        return self._server is not None

    async def start(self, port: int = 0) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port or free_port(), reuse_address=True, limit=1 << 20
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.lease, self._seen, self.seq = [], {}, 0
        self._slots = asyncio.Semaphore(self.slots)
        if self.born is not None:
            self.born = int(time.time() * 1000)
        self._beat = asyncio.ensure_future(self._register())

    def crash(self) -> None:
        """End at once: connections are reset, the port is closed, the entry stays."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._beat is not None:
            self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        self._end_spans(0, KEYS - 1)

    async def crash_for(self, seconds: float) -> None:
        """Crash, and come back at the same address under the same id after a while."""
        self.note("crashes")
        self.crash()
        await asyncio.sleep(seconds)
        self.life += 1
        await self.start(self.port)
        self.note("is back under its id, and knows nothing of before")

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        return int(self.address.rpartition(":")[2])

    def cut_off(self) -> None:
        """Let gateways reach it no more: connections are reset, new ones are refused.

        It lives on, and reaches the store.
        """
        self.note("is cut off from all gateways")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def heal(self) -> None:
        """End the cut."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True, limit=1 << 20
        )
        self.note("is reached again")

    def write_entry(self) -> None:
        """Write the entry."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warm_up_left_ms": 0,
            "seq": self.seq,
        }
        if self.born is not None:
            entry["born"] = self.born
        self.store.put("servers", self.server_id, entry)

    def note(self, text: str) -> None:
        """Record an event."""
        self.notes.append((time.monotonic(), f"{self.server_id} {text}"))

    async def _register(self) -> None:
        while True:
            if self.is_listed and not self.store.is_down:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                request = await read_message(reader)
                # The work goes on if the connection closes, as the pages say of some targets.
                if not await self._answer(request, writer):
                    break
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        meant = request.headers.get("x-indigoworks-target-instance")
        if meant not in (None, self.server_id):
            writer.write(self.encode(request, 421, {"X-Indigoworks-Not-Executed": "1"}, False))
            return True
        target = request.first.split(" ")[1]
        if target == "/grant":
            status, headers = self._grant(json.loads(request.body))
            writer.write(self.encode(request, status, headers, False))
            return True
        if target == "/release":
            self._release(json.loads(request.body))
            headers = {"X-Indigoworks-Handover": secrets.token_hex(8)}
            writer.write(self.encode(request, 200, headers, False))
            return True
        if target == "/health":
            writer.write(self.encode(request, 200, {}, False))
            return True
        if self.behaviour is not None and await self.behaviour(self, request, writer):
            return not writer.transport.is_closing()
        return await self.work(request, writer)

    async def work(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it."""
        key = int(request.headers.get("x-indigoworks-shard-key", "-1"))
        async with self._slots:
            token = self._token(key) if self.is_keyed else 0
            if token is None:
                writer.write(self.encode(request, 421, {"X-Indigoworks-Not-Executed": "1"}, False))
                return True
            self.begin(request, key, token)
            await asyncio.sleep(self.work_s)
        writer.write(self.encode(request, 200, {}))
        return True

    def begin(self, request: Message, key: int = -1, token: int = 0) -> None:
        """Record that a request begins to run."""
        attempt = request.headers.get("x-indigoworks-attempt-id", "")
        via = int(request.headers.get("x-via", "0"))
        self.runs.append((time.monotonic(), attempt, request.first, via, key, token))

    def encode(
        self, request: Message, status: int, headers: dict[str, str], is_signed: bool = True
    ) -> bytes:
        """Return an answer to a request."""
        attempt = request.headers.get("x-indigoworks-attempt-id", "")
        fields = {"X-Indigoworks-Instance-Id": self.server_id, **self.extra, **headers}
        if attempt:
            fields["X-Indigoworks-Attempt-Id"] = attempt
        if is_signed:
            fields["X-Indigoworks-Response-Signature"] = f"sig-{attempt}"
        return encode(f"HTTP/1.1 {status} X", fields, f"{self.server_id} {attempt}".encode())

    def _grant(self, order: dict) -> tuple[int, dict[str, str]]:
        first, last, token = order["first"], order["last"], order["token"]
        if any(self._seen.get(key, 0) > token for key in range(first, last + 1)):
            return 409, {}
        for key in range(first, last + 1):
            self._seen[key] = token
        until_s = time.monotonic() + order["hold_ms"] / 1000 * 1.02
        self._cut(first, last)
        self.lease.append((first, last, token, until_s))
        now_s = time.monotonic()
        self.spans.append(Span(self.server_id, first, last, token, now_s, until_s))
        self.taken.append(Taken(now_s, self.server_id, first, last, token, self.life))
        self.note(f"takes {first}-{last} token {token} for {order['hold_ms']} ms")
        return 200, {}

    def _release(self, order: dict) -> None:
        self._cut(order["first"], order["last"])
        for key in range(order["first"], order["last"] + 1):
            # It has seen this token as well, and refuses grants under lower ones.
            self._seen[key] = max(order["token"], self._seen.get(key, 0))
        self.note(f"releases {order['first']}-{order['last']} token {order['token']}")

    def _end_spans(self, first: int, last: int) -> None:
        """End what is held of some keys now."""
        now_s = time.monotonic()
        for span in [each for each in self.spans if each.until_s > now_s]:
            if span.first > last or span.last < first:
                continue
            rest = ((span.first, first - 1), (last + 1, span.last))
            self.spans += [
                Span(span.server_id, low, high, span.token, now_s, span.until_s)
                for low, high in rest
                if low <= high
            ]
            span.until_s = now_s

    def _cut(self, first: int, last: int) -> None:
        self._end_spans(first, last)
        kept = []
        for a, b, token, until_s in self.lease:
            if a < first:
                kept.append((a, min(b, first - 1), token, until_s))
            if b > last:
                kept.append((max(a, last + 1), b, token, until_s))
        self.lease = kept

    def _token(self, key: int) -> int | None:
        now_s = time.monotonic()
        for first, last, token, until_s in self.lease:
            if first <= key <= last and until_s > now_s:
                return token
        return None

    def holds(self, key: int) -> bool:
        """Return whether it holds a key now."""
        return self.is_up and self._token(key) is not None
