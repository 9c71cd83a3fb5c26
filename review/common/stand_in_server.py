"""Stand-in of a server of the users: runs requests, holds keys, writes its entry."""

import asyncio
import json
import secrets
import time
from collections import Counter
from collections.abc import Callable

from http_io import Answer, HttpServer, Request
from key_book import KEYS, KeyBook
from record import Record
from store import Store

HEARTBEAT_S = 1.3
MS_PER_S = 1000.0
ID = "X-Indigoworks-Attempt-Id"
INSTANCE = "X-Indigoworks-Target-Instance"
NOT_RUN = "X-Indigoworks-Not-Executed"
SIGNATURE = "X-Indigoworks-Response-Signature"
RELEASE_POLL_S = 0.01


class Target:
    """One server; `start` after `stop` begins a new run, by default under the same id."""

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        zone: str,
        store: Store,
        record: Record,
        is_keyed: bool = False,
        slots: int = 2,
        work_s: float = 0.1,
    ) -> None:
        self.name, self.service, self.host, self.zone = name, service, host, zone
        self._store, self._record = store, record
        self.is_keyed, self.slots, self.work_s = is_keyed, slots, work_s
        self.state = "ready"
        self.book = KeyBook()
        self.on_taken: Callable[[Target, int, int, int], None] = _ignore_grant
        self.is_up = False
        self.draining_s: float | None = None
        self.runs: list[tuple[float, str, int | None]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.answers: Counter[int] = Counter()
        self._begun: list[float] = []
        self._busy = 0
        self._working: Counter[int] = Counter()
        self._sequence = 0
        self._beat: asyncio.Task[None] | None = None
        self._port = 0
        self.server = HttpServer(self._answer)

    @property
    def address(self) -> str:
        """Return the address that the entry names."""
        return f"{self.host}:{self._port}"

    # ---- life ----

    async def start(self) -> None:
        """Start a run, which holds nothing of an earlier one."""
        self.book = KeyBook()
        self._sequence = 0
        self._born_ms = int(time.time() * MS_PER_S)
        self._busy = 0
        self._working.clear()
        await self.server.start(self.host, self._port)
        self._port = self.server.port
        self.is_up = True
        self._beat = asyncio.ensure_future(self._write_entries())
        self._record.note("server", self.name, "starts at", self.address)

    async def stop(self) -> None:
        """End the run at once, without a word."""
        self.is_up = False
        if self._beat is not None:
            self._beat.cancel()
        await self.server.stop()
        self._record.note("server", self.name, "ended")

    def drain(self) -> None:
        """Say in the entry that the server leaves; the store takes it at once."""
        self.state = "draining"
        self._write_entry()
        self.draining_s = time.monotonic()
        self._record.note("server", self.name, "is draining, which the store has taken")

    async def _write_entries(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warm_up_left_ms": 0,
            "born": self._born_ms,
            "seq": self._sequence,
        }
        self._store.write("servers", self.name, json.dumps(entry).encode())

    # ---- requests ----

    async def _answer(self, request: Request) -> Answer | None:
        meant = request.headers.get(INSTANCE.lower())
        if meant not in (None, self.name):
            return self._reply(request, 421, {NOT_RUN: "1"})
        if request.target == "/grant":
            return self._grant(request, json.loads(request.body))
        if request.target == "/release":
            return await self._release(request, json.loads(request.body))
        if request.target == "/health":
            return self._reply(request, 503 if self.state == "draining" else 200, {})
        return await self._work(request)

    def _grant(self, request: Request, order: dict[str, int]) -> Answer:
        first, last, token = order["first"], order["last"], order["token"]
        until_s = time.monotonic() + order["hold_ms"] / MS_PER_S
        is_taken = self.book.take(first, last, token, until_s)
        words = ("grant", self.name, f"{first}-{last}", "fence", token, order["hold_ms"], "ms")
        self._record.note(*words, "taken" if is_taken else "refused", "from", request.peer)
        if is_taken:
            self.on_taken(self, first, last, token)
        return self._reply(request, 200 if is_taken else 409, {})

    async def _release(self, request: Request, order: dict[str, int]) -> Answer:
        first, last, token = order["first"], order["last"], order["token"]
        self.book.release(first, last, token)
        self._record.note("release", self.name, f"{first}-{last}", "fence", token)
        while any(first <= key <= last for key in +self._working):  # noqa: ASYNC110
            await asyncio.sleep(RELEASE_POLL_S)
        return self._reply(request, 200, {"X-Indigoworks-Handover": secrets.token_hex(8)})

    async def _work(self, request: Request) -> Answer | None:
        number = request.headers.get(ID.lower(), "")
        self.arrivals.append((time.monotonic(), number))
        text = request.headers.get("x-indigoworks-shard-key")
        key = int(text) % KEYS if self.is_keyed and text is not None else None
        if not number:
            return self._reply(request, 400, {NOT_RUN: "1"})
        if key is not None and self.book.until_s(key) <= time.monotonic():
            self._record.note("421", self.name, number, "key", key)
            return self._refuse_not_held(request)
        if self._busy >= self.slots + 8:
            return self._reply(request, 503, {NOT_RUN: "1"})
        return await self._run(request, number, key)

    async def _run(self, request: Request, number: str, key: int | None) -> Answer:
        self._busy += 1
        try:
            while len(self._begun) >= self.slots:  # noqa: ASYNC110
                await asyncio.sleep(0.002)
            now_s = time.monotonic()
            self._begun.append(now_s)
            self.runs.append((now_s, number, key))
            self._record.note("run", self.name, number, "" if key is None else f"key {key}")
            if key is not None:
                self._working[key] += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._begun.remove(now_s)
                if key is not None:
                    self._working[key] -= 1
        finally:
            self._busy -= 1
        if key is not None and self.book.until_s(key) <= time.monotonic():
            return self._reply(request, 500, {SIGNATURE: number})
        return self._reply(request, 200, {SIGNATURE: number}, f"done {number}".encode())

    def _refuse_not_held(self, request: Request) -> Answer:
        """Answer a request for a key that is not held."""
        return self._reply(request, 421, {NOT_RUN: "1"})

    def _reply(
        self, request: Request, status: int, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        self.answers[status] += 1
        fields = {"X-Indigoworks-Instance-Id": self.name, "Keep-Alive": "timeout=10", **headers}
        number = request.headers.get(ID.lower())
        if number is not None:
            fields[ID] = number
        return Answer(status, fields, body)


def _ignore_grant(target: Target, first: int, last: int, token: int) -> None:
    """Do nothing: the default listener."""
