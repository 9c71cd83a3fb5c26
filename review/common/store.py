"""Stand-in of the platform's store: rows with versions, transactions and a feed."""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http_io import Answer, HttpServer, Request

ANSWER_S = 0.004
TRANSACTION_S = 0.005
MS_PER_S = 1000.0
PAGE_ROWS = 500

Row = dict[str, Any]
Key = tuple[str, str, str]


class Store:
    """Keeps rows in memory; every answer is taken at one moment, so they are linearizable."""

    def __init__(self) -> None:
        self._rows: dict[Key, Row] = {}
        self._log: list[Row] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._history: list[tuple[float, list[Row], list[Row]]] = []
        self._era = 0
        self.server = HttpServer(self._answer)

    def write(self, table: str, key: str, value: bytes) -> int:
        """Write a row of the empty part, as the operator and the servers do."""
        return self._apply([_put(table, "", key, base64.b64encode(value).decode())], [])

    def remove(self, table: str, key: str) -> None:
        """Remove a row of the empty part."""
        self._apply([], [{"table": table, "part": "", "key": key}])

    def now_ms(self) -> int:
        """Return the steady clock of the store."""
        return int(time.monotonic() * MS_PER_S)

    async def drill(self, copy_age_s: float, away_s: float, host: str) -> None:
        """Be away for a moment and come back from a copy: the system's newest rows are gone."""
        kept = {key: row for key, row in self._rows.items() if key[0] in ("op", "servers")}
        port = self.server.port
        await self.server.stop()
        oldest_s = time.monotonic() - copy_age_s
        history = [each for each in self._history if each[0] <= oldest_s]
        self._rows, self._log, self._history, self._version = {}, [], [], 0
        for _, puts, removed in history:
            self._apply(puts, removed)
        for key in [each for each in self._rows if each[0] in ("op", "servers")]:
            if key not in kept:
                self._apply([], [self._rows[key]])
        await asyncio.sleep(away_s)
        self._era += 1
        await self.server.start(host, port)
        for row in kept.values():
            self._apply([_put(row["table"], row["part"], row["key"], row["value"])], [])

    async def _answer(self, request: Request) -> Answer:
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(request.target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(json.loads(request.body))
        if url.path == "/rows-get":
            return self._get(query)
        if url.path == "/rows-feed":
            return await self._feed(query)
        if url.path == "/rows-parts":
            parts = sorted({key[1] for key in self._rows if key[0] == query["table"]})
            return self._json(200, {"parts": parts, "more": False})
        return Answer(404)

    def _transact(self, order: dict[str, Any]) -> Answer:
        expected = order.get("expected", [])
        known = [self._rows.get(_key(each)) for each in expected]
        as_they_are = [
            each if each is not None else {**_named(wanted), "ver": 0}
            for each, wanted in zip(known, expected, strict=True)
        ]
        pairs = zip(as_they_are, expected, strict=True)
        if any(each["ver"] != wanted["ver"] for each, wanted in pairs):
            return self._json(412, {"rows": as_they_are})
        puts = [
            _put(each["table"], each.get("part") or "", each["key"], each["value"])
            for each in order.get("put", [])
        ]
        self._apply(puts, order.get("remove", []))
        return self._json(200, {})

    def _apply(self, puts: list[Row], removed: list[Row]) -> int:
        self._version += 1
        self._history.append((time.monotonic(), puts, removed))
        for each in puts:
            row = {**each, "ver": self._version}
            self._rows[_key(row)] = row
            self._log.append(row)
        for each in removed:
            if self._rows.pop(_key(each), None) is not None:
                self._log.append({**_named(each), "ver": self._version, "gone": True})
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._version

    def _get(self, query: dict[str, str]) -> Answer:
        table, part = query["table"], query.get("part", "")
        first, limit = query.get("first", ""), int(query.get("limit", PAGE_ROWS))
        keys = sorted(each for each in self._rows if each[:2] == (table, part) and each[2] >= first)
        rows = [self._rows[each] for each in keys[:limit]]
        return self._json(200, {"rows": rows, "more": len(keys) > limit})

    async def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query["after"])
        if after > self._version:
            return self._json(410, {})
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / MS_PER_S
        while True:
            changed = self._changed
            rows = self._since(table, after)
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return self._json(200, {"rows": rows})
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _since(self, table: str, after: int) -> list[Row]:
        rows: list[Row] = []
        for row in reversed(self._log):
            if row["ver"] <= after:
                break
            if row["table"] == table:
                rows.append(row)
        return rows[::-1]

    def _json(self, status: int, fields: dict[str, Any]) -> Answer:
        document = {**fields, "ver": self._version, "now": self.now_ms()}
        headers = {"Content-Type": "application/json", "Store-Era": str(self._era)}
        return Answer(status, headers, json.dumps(document).encode())


def _put(table: str, part: str, key: str, value: str) -> Row:
    return {"table": table, "part": part, "key": key, "value": value}


def _key(row: Row) -> Key:
    return row["table"], row.get("part") or "", row["key"]


def _named(row: Row) -> Row:
    return {"table": row["table"], "part": row.get("part") or "", "key": row["key"]}
