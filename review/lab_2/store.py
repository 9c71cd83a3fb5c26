"""A stand-in for the platform's store: rows, a feed of changes, and eras."""

import asyncio
import base64
import json
import time
from contextlib import suppress
from urllib.parse import parse_qs

from http_stream import Message, encode, read_message

PAGE_ROWS = 500
MS_PER_S = 1000.0


class Store:
    """Keeps rows in memory and answers as PROTOCOL.md says; `mode` by caller's node is not known.

    :ivar is_down: connections are closed without an answer.
    :ivar era: what `Store-Era` says.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era = 0
        self.is_down = False
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.changes: list[dict[str, object]] = []
        self.address = ""
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: object, part: str = "") -> None:
        """Write a row as operator or target."""
        self.version += 1
        self._put(table, part, key, json.dumps(value).encode())
        self._wake()

    def put_raw(self, table: str, key: str, value: bytes) -> None:
        """Write a row as another writer."""
        self.version += 1
        self._put(table, "", key, value)
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self.rows.pop((table, "", key), None) is not None:
            self.version += 1
            gone = {"table": table, "part": "", "key": key, "ver": self.version, "gone": True}
            self.changes.append(gone)
            self._wake()

    def copy(self) -> tuple[int, dict[tuple[str, str, str], tuple[bytes, int]], list]:
        """Return a copy of all that is kept."""
        return self.version, dict(self.rows), list(self.changes)

    def leave(self) -> None:
        """Go away: all connections end, new ones too."""
        self.is_down = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, copy: tuple[int, dict, list] | None = None) -> None:
        """Answer again, from a copy if there is one."""
        self.is_down = False
        if copy is not None:
            self.era += 1
            self.version, self.rows, self.changes = copy[0], dict(copy[1]), list(copy[2])
        self._wake()

    def value(self, table: str, part: str, key: str) -> bytes | None:
        """Return the value of a row."""
        found = self.rows.get((table, part, key))
        return None if found is None else found[0]

    def _put(self, table: str, part: str, key: str, value: bytes) -> None:
        self.rows[table, part, key] = (value, self.version)
        self.changes.append(self._row(table, part, key))

    def _row(self, table: str, part: str, key: str) -> dict[str, object]:
        value, version = self.rows[table, part, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": part, "key": key, "value": text, "ver": version}

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.is_down:
                request = await read_message(reader)
                era = self.era
                status, document = await self._answer(request)
                if self.is_down or era != self.era:
                    break
                document = {"ver": self.version, "now": time.monotonic() * MS_PER_S, **document}
                body = json.dumps(document).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", {"Store-Era": str(self.era)}, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Message) -> tuple[int, dict[str, object]]:
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if method == "POST" and path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if path == "/rows-get":
            return self._get(fields)
        if path == "/rows-feed":
            return await self._feed(fields)
        return 404, {}

    def _get(self, fields: dict[str, str]) -> tuple[int, dict[str, object]]:
        table, part, first = fields["table"], fields.get("part", ""), fields.get("first", "")
        keys = sorted(
            key.encode()
            for each, of, key in self.rows
            if (each, of) == (table, part) and key.encode() >= first.encode()
        )
        limit = min(PAGE_ROWS, int(fields.get("limit", PAGE_ROWS)))
        rows = [self._row(table, part, key.decode()) for key in keys[:limit]]
        return 200, {"rows": rows, "more": len(keys) > limit}

    async def _feed(self, fields: dict[str, str]) -> tuple[int, dict[str, object]]:
        until_s = time.monotonic() + float(fields.get("wait_ms", 0)) / MS_PER_S
        after = int(fields["after"])
        while True:
            if after > self.version:
                return 410, {}
            newest = {
                (each["part"], each["key"]): each
                for each in self.changes
                if each["table"] == fields["table"] and int(str(each["ver"])) > after
            }
            left_s = until_s - time.monotonic()
            if newest or left_s <= 0 or self.is_down:
                return 200, {
                    "rows": sorted(newest.values(), key=lambda each: int(str(each["ver"])))
                }
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, document: dict) -> tuple[int, dict[str, object]]:
        def is_met(each: dict) -> bool:
            found = self.rows.get((each["table"], each.get("part", ""), each["key"]))
            return (found[1] if found else 0) == each["ver"]

        if not all(map(is_met, document.get("expected", ()))):
            return 412, {"rows": []}
        self.version += 1
        for each in document.get("put", ()):
            value = base64.b64decode(each["value"])
            self._put(each["table"], each.get("part", ""), each["key"], value)
        self._wake()
        return 200, {}
