"""A small stand-in for the platform's store, with the names that deploy/wire.toml gives."""

import base64
import json
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path

from platform_paced_answers import PacedAnswers
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import IOStream
from tornado.testing import bind_unused_port

from indigoworks.common.address import Address

ROOT = Path(__file__).parents[2]
FOLDER = str(ROOT / "platform")
if FOLDER not in sys.path:
    # At the end, so that the folder never hides Python's own module `platform`.
    sys.path.append(FOLDER)

_FIELDS = tomllib.loads((ROOT / "deploy" / "wire.toml").read_text())["fields"]
START_MS = 5_000_000
ERA_HEADER = "Store-Era"


def wire(name: str) -> str:
    """Return the name that the platform uses towards us for a name of its pages."""
    return _FIELDS.get(name, name)


@dataclass(frozen=True)
class StoreCopy:
    """What the stand-in comes back from."""

    version: int
    rows: dict[tuple[str, str, str], tuple[bytes, int]]
    changes: list[dict]
    forgotten: int


class StoreStandIn:
    """Rows, a feed of changes, and troubles that the scenario asks for."""

    def __init__(self, page_rows: int) -> None:
        self._page_rows = page_rows
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.changes: list[dict] = []
        self.forgotten = 0
        self.era = 0
        self.troubles: list[str] = []
        self.calls: list[str] = []
        self.between_pages = lambda: None
        self.paced: PacedAnswers | None = None
        self.streams: list[IOStream] = []

    def start(self) -> Address:
        listener, port = bind_unused_port()
        self._server = HTTPServer(self._handle)
        self._server.add_sockets([listener])
        return Address("127.0.0.1", port)

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        self.version += 1
        self._put(table, part, key, value)

    def remove(self, table: str, part: str, key: str) -> None:
        self.version += 1
        self._remove(table, part, key)

    def _remove(self, table, part, key) -> None:
        if self.rows.pop((table, part, key), None) is not None:
            self.changes.append(
                {"table": table, "part": part, "key": key, "ver": self.version, "gone": True}
            )

    def copy(self) -> StoreCopy:
        """Return all that is kept now."""
        return StoreCopy(self.version, dict(self.rows), list(self.changes), self.forgotten)

    def come_back(self, copy: StoreCopy) -> None:
        """Lose what was written since the copy; its versions are given out again."""
        self.era += 1
        self.version, self.forgotten = copy.version, copy.forgotten
        self.rows, self.changes = dict(copy.rows), list(copy.changes)

    def _put(self, table, part, key, value) -> None:
        self.rows[(table, part, key)] = (value, self.version)
        self.changes.append(self._row(table, part, key))

    def _row(self, table, part, key) -> dict:
        value, version = self.rows[(table, part, key)]
        encoded = base64.b64encode(value).decode()
        return {"table": table, "part": part, "key": key, "value": encoded, "ver": version}

    def _handle(self, request) -> None:
        self.calls.append(request.path)
        self.streams.append(request.connection.stream)
        trouble = self.troubles.pop(0) if self.troubles else ""
        if trouble.isdecimal():
            self._answer(request, int(trouble), {})
            return
        if trouble == "leaves":
            return
        status, document = {
            "/rows-get": self._get,
            "/rows-feed": self._feed,
            "/rows-tx": self._transaction,
        }[request.path](request)
        if trouble == "loses":
            request.connection.stream.close()
            return
        self._answer(request, status, document)

    def _answer(self, request, status, document) -> None:
        if status in (200, 410, 412):
            document = {"ver": self.version, "now": START_MS + self.version, **document}
        body = json.dumps(document).encode()
        headers = HTTPHeaders({"Content-Length": str(len(body)), ERA_HEADER: str(self.era)})
        start_line = ResponseStartLine("HTTP/1.1", status, "X")
        if self.paced is not None:
            self.paced.send(request.connection, start_line, headers, body)
            return
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

    def _get(self, request):
        query = {name: values[0].decode() for name, values in request.query_arguments.items()}
        known = {"table", "part", wire("from"), wire("toVersion"), "limit"}
        assert not set(query) - known, query
        first = query.get(wire("from"), "").encode()
        keys = sorted(
            key.encode()
            for table, part, key in self.rows
            if (table, part) == (query["table"], query.get("part", "")) and key.encode() >= first
        )
        limit = min(self._page_rows, int(query["limit"]))
        page = [self._row(query["table"], query["part"], key.decode()) for key in keys[:limit]]
        document = {"rows": page, "more": len(keys) > limit, "ver": self.version}
        if document["more"]:
            self.between_pages()
        return 200, document

    def _feed(self, request):
        query = {name: values[0].decode() for name, values in request.query_arguments.items()}
        assert set(query) == {"table", "after", wire("waitMs")}, query
        after = int(query["after"])
        if not self.forgotten <= after <= self.version:
            return 410, {}
        newest = {}
        for change in self.changes:
            if change["table"] == query["table"] and change["ver"] > after:
                newest[(change["part"], change["key"])] = change
        return 200, {"rows": sorted(newest.values(), key=lambda each: each["ver"])}

    def _transaction(self, request):
        document = json.loads(request.body)
        assert set(document) == {wire("expectedRevision"), "put", "remove"}, document
        failed = [each for each in document[wire("expectedRevision")] if not self._is_met(each)]
        if failed:
            return 412, {"rows": []}
        self.version += 1
        for each in document["put"]:
            value = base64.b64decode(each["value"], validate=True)
            self._put(each["table"], each["part"], each["key"], value)
        for each in document["remove"]:
            self._remove(each["table"], each["part"], each["key"])
        return 200, {}

    def _is_met(self, expected) -> bool:
        found = self.rows.get((expected["table"], expected["part"], expected["key"]))
        return (found[1] if found else 0) == expected["ver"]
