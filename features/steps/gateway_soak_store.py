"""The platform's store of a soak: feeds that wait, and spells of trouble."""

import asyncio
import contextlib
import json
from random import Random
from weakref import WeakKeyDictionary, WeakSet

from platform_folder_store_stand_in import ERA_HEADER, StoreStandIn, wire
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from indigoworks_lab.gateway_soak.time_span import TimeSpan

PAGE_ROWS = 500
MS_PER_S = 1000.0
SLOW_S = (0.1, 1.2)
LOST_PART = 0.5
TRICKLE_PARTS = 40
TRICKLE_S = 0.01
TRICKLE_LEAST_BYTES = 2000


class SoakStore(StoreStandIn):
    """Answers as the stand-in does; a call of a feed waits for rows.

    :ivar troubles: spells of trouble so far.
    """

    def __init__(self, random: Random) -> None:
        super().__init__(PAGE_ROWS)
        self._random = random
        self._changed = asyncio.Event()
        self._mode = ""
        self._spell = 0
        self._is_away = False
        self._open = set()
        self._used_s = WeakKeyDictionary()
        self._silent = WeakSet()
        self.troubles: list[TimeSpan] = []

    def put(self, table, part, key, value) -> None:
        super().put(table, part, key, value)
        self._wake()

    def remove(self, table, part, key) -> None:
        super().remove(table, part, key)
        self._wake()

    async def trouble(self, mode, duration_s) -> None:
        """Be slow, down, or lose or trickle answers for a while; a later spell ends this one."""
        loop = asyncio.get_running_loop()
        self.troubles.append(TimeSpan(loop.time(), loop.time() + duration_s))
        self._spell += 1
        spell = self._spell
        self._mode = mode
        if mode == "down":
            self._close_all()
        await asyncio.sleep(duration_s)
        if spell == self._spell:
            self._mode = ""

    def silence(self, rested_s) -> None:
        """Let connections that rested for a time go silent for good, without a reset."""
        now_s = asyncio.get_running_loop().time()
        self.troubles.append(TimeSpan(now_s, now_s))
        self._silent.update(e for e, at_s in self._used_s.items() if at_s <= now_s - rested_s)

    async def return_from_copy(self, age_s, away_s) -> None:
        """Copy all, go away after a while, and come back from the copy."""
        copy = self.copy()
        await asyncio.sleep(age_s)
        self._is_away = True
        self._close_all()
        await asyncio.sleep(away_s)
        self.come_back(copy)
        self._is_away = False
        self._wake()

    def _close_all(self) -> None:
        for stream in list(self._open):
            stream.close()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _handle(self, request) -> None:
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request) -> None:
        stream = request.connection.stream
        self._open.add(stream)
        self._used_s[stream] = asyncio.get_running_loop().time()
        try:
            with contextlib.suppress(StreamClosedError):
                await self._one(request, stream)
        finally:
            self._open.discard(stream)

    async def _one(self, request, stream) -> None:
        if self._mode == "down" or self._is_away:
            stream.close()
            return
        if self._mode == "slow":
            await asyncio.sleep(self._random.uniform(*SLOW_S))
        make = {
            "/rows-get": self._get,
            "/rows-feed": self._feed,
            "/rows-tx": self._transaction,
        }[request.path]
        if stream in self._silent:
            return
        before = self.version
        status, document = make(request)
        if self.version != before:
            self._wake()
        if request.path == "/rows-feed" and status == 200 and not document["rows"]:
            status, document = await self._wait(request, stream, make)
        if self._mode == "loses" and self._random.random() < LOST_PART:
            stream.close()
            return
        if not stream.closed():
            await self._send(request, stream, status, document)

    async def _wait(self, request, stream, make):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + float(request.arguments[wire("waitMs")][0]) / MS_PER_S
        status, document = 200, {"rows": []}
        while not document.get("rows") and status == 200 and not stream.closed():
            left_s = until_s - loop.time()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
            status, document = make(request)
        return status, document

    async def _send(self, request, stream, status, document) -> None:
        if stream in self._silent:
            return
        document = {"ver": self.version, "now": self._now_ms(), **document}
        body = json.dumps(document).encode()
        parts = 1
        if self._mode == "trickles" and len(body) > TRICKLE_LEAST_BYTES:
            parts = TRICKLE_PARTS
        size = -(-len(body) // parts)
        headers = HTTPHeaders({"Content-Length": str(len(body)), ERA_HEADER: str(self.era)})
        await request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, "X"), headers, body[:size]
        )
        for first in range(size, len(body), size):
            await asyncio.sleep(TRICKLE_S)
            await request.connection.write(body[first : first + size])
        request.connection.finish()
        self._used_s[stream] = asyncio.get_running_loop().time()

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * MS_PER_S
