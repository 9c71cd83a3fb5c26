"""Grants, releases, requests and probes of a server that holds keys."""

import asyncio
import json
import secrets
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from indigoworks_lab.gateway_soak.grant_delay import GrantDelay
from indigoworks_lab.gateway_soak.grant_delay_call import DELAY_PATH
from indigoworks_lab.gateway_soak.key_book import KeyBook
from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_server_settings import KeyServerSettings

MS_PER_S = 1000.0
MISDIRECTED = 421
RELEASE_POLL_S = 0.01
REPEATED_SHARE = 0.5
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class KeyServerRequest:
    """A request; names of `headers` are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    sender: str
    sender_port: int


Answer = tuple[int, Mapping[str, str]]


class KeyServer:
    """Serves connections; `write` takes each event before its answer goes out."""

    def __init__(self, settings: KeyServerSettings, write: Callable[[KeyEvent], None]) -> None:
        self._settings = settings
        self._write = write
        self._book = KeyBook(settings.forgets_release_tokens)
        self._delay = GrantDelay()
        self._random = Random(settings.server_id)

    def holds_any(self) -> bool:
        """Tell whether any key is held now."""
        return self._book.holds_any(time.monotonic())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        sender = writer.get_extra_info("peername")
        surplus = b""
        try:
            while True:
                request = await _read(reader, sender)
                writer.write(surplus)
                status, headers = await self._answer(request)
                answer = self._encode(request, status, headers)
                surplus = answer if status == MISDIRECTED and self._is_repeated() else b""
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    def _is_repeated(self) -> bool:
        return self._settings.repeats_refusals and self._random.random() < REPEATED_SHARE

    async def _answer(self, request: KeyServerRequest) -> Answer:
        meant = request.headers.get(self._settings.server_id_header.lower())
        if meant not in (None, self._settings.server_id):
            return self._not_run("another")
        if request.target == "/grant":
            return await self._grant(request, json.loads(request.body))
        if request.target == "/release":
            return await self._release(request, json.loads(request.body))
        if request.target == DELAY_PATH:
            return await self._delay_next_grant(json.loads(request.body))
        request_id = request.headers.get(self._settings.request_id_header.lower())
        if request_id is None:
            return 200, {}
        return await self._work(request, request_id)

    async def _delay_next_grant(self, order: Mapping[str, int]) -> Answer:
        delay_s, timeout_s = (order[each] / MS_PER_S for each in ("delay_ms", "timeout_ms"))
        return (200 if await self._delay.arm(delay_s, timeout_s) else 408), {}

    async def _grant(self, request: KeyServerRequest, order: Mapping[str, int]) -> Answer:
        settings = self._settings
        hold_s = order["hold_ms"] / MS_PER_S
        if hold_s > settings.hold_max_s:
            return 400, {}
        first, last, token = order["first"], order["last"], order["token"]
        delay_s = self._delay.take()
        if delay_s is not None:
            self._note_order("delayed", time.monotonic(), request, first, last, token)
            await asyncio.sleep(delay_s)
        now_s = time.monotonic()
        true_hold_s = hold_s * settings.clock_factor
        is_taken = self._book.take(first, last, token, now_s + true_hold_s)
        kind = "taken" if is_taken else "refused"
        self._note_order(kind, now_s, request, first, last, token, true_hold_s)
        return (200 if is_taken else 409), {}

    async def _release(self, request: KeyServerRequest, order: Mapping[str, int]) -> Answer:
        first, last, token = order["first"], order["last"], order["token"]
        self._book.release(first, last, token)
        self._note_order("released", time.monotonic(), request, first, last, token)
        while self._book.is_worked_on(first, last):  # noqa: ASYNC110
            await asyncio.sleep(RELEASE_POLL_S)
        return 200, {self._settings.handover_header: secrets.token_hex(8)}

    async def _work(self, request: KeyServerRequest, request_id: str) -> Answer:
        now_s = time.monotonic()
        if not self._settings.needs_keys:
            return await self._work_without_key(request, request_id, now_s)
        key = int(request.headers[self._settings.key_header.lower()])
        lease = self._book.lease(key)
        if lease.until_s <= now_s:
            return self._not_run("not held")
        self._note_work("begun", now_s, key, lease.token, request_id)
        number = self._book.begin(key)
        end_s = now_s + int(request.target.rpartition("/")[2]) / MS_PER_S
        while now_s < min(end_s, self._book.work_until_s(number)):
            await asyncio.sleep(min(end_s, self._book.work_until_s(number)) - now_s)
            now_s = time.monotonic()
        self._book.end(number)
        self._note_work("ended", now_s, key, lease.token, request_id)
        return (200 if now_s >= end_s else 500), {}

    async def _work_without_key(
        self, request: KeyServerRequest, request_id: str, now_s: float
    ) -> Answer:
        self._note_work("begun", now_s, 0, 0, request_id)
        await asyncio.sleep(int(request.target.rpartition("/")[2]) / MS_PER_S)
        self._note_work("ended", time.monotonic(), 0, 0, request_id)
        return 200, {}

    def _note_order(
        self,
        kind: str,
        at_s: float,
        request: KeyServerRequest,
        first: int,
        last: int,
        token: int,
        hold_s: float = 0.0,
    ) -> None:
        sender, port = request.sender, request.sender_port
        self._write(KeyEvent(kind, at_s, sender, first, last, token, hold_s, "", port))

    def _note_work(self, kind: str, at_s: float, key: int, token: int, request_id: str) -> None:
        event = KeyEvent(kind, at_s, first=key, last=key, token=token, request_id=request_id)
        self._write(event)

    def _not_run(self, reason: str) -> Answer:
        return MISDIRECTED, {self._settings.not_run_header: reason}

    def _encode(self, request: KeyServerRequest, status: int, headers: Mapping[str, str]) -> bytes:
        settings = self._settings
        body = b"work done"
        fields = {
            settings.answering_id_header: settings.server_id,
            settings.signature_header: "signed",
            "Content-Length": str(len(body)),
            **headers,
        }
        request_id = request.headers.get(settings.request_id_header.lower())
        if request_id is not None:
            fields[settings.request_id_header] = request_id
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
        return "\r\n".join((*lines, "", "")).encode() + body


async def _read(reader: asyncio.StreamReader, sender: tuple[str, int]) -> KeyServerRequest:
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.removesuffix("\r\n\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (each.partition(":") for each in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return KeyServerRequest(method, target, headers, body, *sender)
