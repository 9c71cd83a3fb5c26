"""Callers that send every kind of request to one gateway."""

import asyncio
from collections.abc import Callable
from random import Random

from indigoworks.gateway.header_names import HeaderNames
from indigoworks_lab.gateway_soak.caller_connection import CallerConnection, RawAnswer
from indigoworks_lab.gateway_soak.hot_keys import HotKeys
from indigoworks_lab.gateway_soak.path_request import PathRequest
from indigoworks_lab.gateway_soak.path_request_kind import PathRequestKind
from indigoworks_lab.gateway_soak.soak_caller import HOST_NAME, CalledGateway

KINDS = (
    *[PathRequestKind.KEYED] * 4,
    *[PathRequestKind.SAFE] * 3,
    *[PathRequestKind.UNSAFE] * 3,
    PathRequestKind.LARGE,
    PathRequestKind.SLOW,
    PathRequestKind.LEAVES,
)
KEYED_ROUTE, SAFE_ROUTE, UNSAFE_ROUTE = "/keyed/", "/safe/", "/unsafe/"
RECONNECT_S = 0.05
REST_S = (0.05, 0.15)
WORK_MS = (10, 50)
DEADLINE_S = 1.2
PATIENCE_S = 0.3
LEAVE_S = (0.0, 0.06)
LARGE_BYTES = 60_000
SLOW_PIECES, SLOW_PAUSE_S = 5, 0.05
MS_PER_S = 1000.0


class PathCaller:
    """Sends requests, each one try, over connections that it keeps until they end.

    :param record: takes each request that was sent whole.
    """

    def __init__(
        self,
        name: str,
        gateway: CalledGateway,
        names: HeaderNames,
        keys: HotKeys,
        random: Random,
        record: Callable[[PathRequest], None],
    ) -> None:
        self._name = name
        self._gateway = gateway
        self._names = names
        self._keys = keys
        self._random = random
        self._record = record
        self._count = 0

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            connection = await CallerConnection.open(self._gateway.address)
            if connection is None:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                while await self._one(connection):  # noqa: ASYNC110
                    await asyncio.sleep(self._random.uniform(*REST_S))
            finally:
                connection.close()

    async def _one(self, connection: CallerConnection) -> bool:
        """Send one request; return whether the connection can be used again."""
        if connection.is_ended():
            return False
        kind = self._random.choice(KINDS)
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        if not await self._send(connection, kind, request_id):
            return False
        sent_s = asyncio.get_running_loop().time()
        if kind is PathRequestKind.LEAVES:
            await asyncio.sleep(self._random.uniform(*LEAVE_S))
            self._note(request_id, kind, sent_s, 0, has_left=True)
            return False
        status, keeps = await self._answer(connection)
        self._note(request_id, kind, sent_s, status)
        return keeps

    async def _send(
        self, connection: CallerConnection, kind: PathRequestKind, request_id: str
    ) -> bool:
        head, body = self._message(kind, request_id)
        if kind is not PathRequestKind.SLOW:
            return await connection.send(head + body)
        pieces = [head, *(bytes([each]) for each in body)]
        for piece in pieces:
            if not await connection.send(piece):
                return False
            await asyncio.sleep(SLOW_PAUSE_S)
        return True

    async def _answer(self, connection: CallerConnection) -> tuple[int, bool]:
        try:
            async with asyncio.timeout(DEADLINE_S + PATIENCE_S):
                outcome = await connection.receive()
        except TimeoutError:
            return 0, False
        if not isinstance(outcome, RawAnswer):
            return 0, False
        return outcome.status, outcome.keeps

    def _note(
        self,
        request_id: str,
        kind: PathRequestKind,
        sent_s: float,
        status: int,
        has_left: bool = False,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        left_s = now_s if has_left else None
        gateway = self._gateway.name
        self._record(PathRequest(request_id, gateway, kind, sent_s, now_s, status, left_s))

    def _message(self, kind: PathRequestKind, request_id: str) -> tuple[bytes, bytes]:
        route = KEYED_ROUTE if kind is PathRequestKind.KEYED else SAFE_ROUTE
        if not kind.is_safe:
            route = UNSAFE_ROUTE
        body = _body(kind)
        method = "GET" if kind.is_safe else "POST"
        lines = [
            f"{method} {route}{self._random.randint(*WORK_MS)} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"{self._names.request_id}: {request_id}",
            f"{self._names.deadline_ms}: {int(DEADLINE_S * MS_PER_S)}",
        ]
        if kind is PathRequestKind.KEYED:
            lines.append(f"{self._names.key}: {self._keys.draw()}")
        if not kind.is_safe:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join((*lines, "", "")).encode(), body


def _body(kind: PathRequestKind) -> bytes:
    if kind is PathRequestKind.LARGE:
        return b"x" * LARGE_BYTES
    return b"" if kind.is_safe else b"y" * SLOW_PIECES
