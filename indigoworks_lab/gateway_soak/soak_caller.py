"""Callers of a soak."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from indigoworks.common.address import Address
from indigoworks.gateway.header_names import HeaderNames
from indigoworks_lab.gateway_soak.caller_connection import (
    CallerConnection,
    EndedEarly,
    RawAnswer,
)
from indigoworks_lab.gateway_soak.caller_limits_view import CallerLimitsView
from indigoworks_lab.gateway_soak.soak_request import SoakRequest

HOST_NAME = "soak.example"
REST_SHARE = 0.8
"""Callers rest for up to this share of the idle timeout."""

LONG_REST_PART = 0.35
LONG_WORK_PART = 0.06
LARGE_BODY_PART = 0.1
NEW_ROUTE_PART = 0.3
UNSAFE_PART = 0.4
FRESH_CLOSE_PART = 0.5
RECONNECT_S = 0.1
SHORT_REST_S = 0.05
DEADLINES_S = (1.0, 3.0)
LONG_DEADLINE_S = 8.0
MS_PER_S = 1000.0

PATIENCE_S = 3.0
"""A caller waits so long beyond the deadline of its request; then the request counts as never
answered."""


class CalledGateway(Protocol):
    """A gateway that callers connect to.

    :ivar life: number of its newest process.
    """

    name: str
    address: Address
    life: int


class SoakCaller:
    """Opens connections to one gateway and uses each until it ends.

    :param is_fresh: opens a new connection for most requests.
    :param record: takes each request that was sent whole.
    """

    def __init__(
        self,
        name: str,
        gateway: CalledGateway,
        names: HeaderNames,
        limits: CallerLimitsView,
        random: Random,
        record: Callable[[SoakRequest], None],
        is_fresh: bool,
    ) -> None:
        self._name = name
        self._gateway = gateway
        self._names = names
        self._limits = limits
        self._random = random
        self._record = record
        self._is_fresh = is_fresh
        self._count = 0
        self.is_ending = False

    async def run(self) -> None:
        """Call until `is_ending`; a request that is under way is waited for."""
        while not self.is_ending:
            connection = await CallerConnection.open(self._gateway.address)
            if connection is None:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(connection, self._gateway.life)
            finally:
                connection.close()

    async def _use(self, connection: CallerConnection, life: int) -> None:
        while not self.is_ending:
            if not await self._one(connection, life):
                return
            if self._is_fresh and self._random.random() < FRESH_CLOSE_PART:
                return
            await asyncio.sleep(self._rest_s())

    def _rest_s(self) -> float:
        if self._random.random() >= LONG_REST_PART:
            return self._random.uniform(0.0, SHORT_REST_S)
        longest_s = REST_SHARE * self._limits.idle_timeout_s
        # Most rest nearly as long as they may.
        return longest_s * (1 - self._random.random() ** 3)

    async def _one(self, connection: CallerConnection, life: int) -> bool:
        """Send one request; returns whether the connection can be used again."""
        if connection.is_ended():
            return False
        loop = asyncio.get_running_loop()
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        is_safe = self._random.random() >= UNSAFE_PART
        version = self._route_version()
        work_s, deadline_s = self._times()
        message = self._message(request_id, is_safe, version, work_s, deadline_s)
        if not await connection.send(message):
            return False
        sent_s = loop.time()
        outcome: RawAnswer | EndedEarly | None = None
        try:
            async with asyncio.timeout(deadline_s + PATIENCE_S):
                outcome = await connection.receive()
        except TimeoutError:
            pass
        self._record(
            SoakRequest(
                request_id,
                self._gateway.name,
                life,
                version,
                is_safe,
                sent_s,
                loop.time(),
                status=outcome.status if isinstance(outcome, RawAnswer) else 0,
                is_whole=isinstance(outcome, RawAnswer),
                is_given_up=outcome is None,
                was_read=isinstance(outcome, EndedEarly) and outcome.was_read,
            )
        )
        return isinstance(outcome, RawAnswer) and outcome.keeps

    def _route_version(self) -> int:
        versions = self._limits.route_versions
        if self._random.random() >= NEW_ROUTE_PART:
            return versions[0]
        return self._random.choice(versions[-4:])

    def _times(self) -> tuple[float, float]:
        """Return how long the server works and how long the caller waits, in seconds."""
        if self._random.random() < LONG_WORK_PART:
            return self._random.uniform(1.0, 6.0), LONG_DEADLINE_S
        return self._random.uniform(0.005, 0.15), self._random.choice(DEADLINES_S)

    def _message(
        self, request_id: str, is_safe: bool, version: int, work_s: float, deadline_s: float
    ) -> bytes:
        kind, method = ("safe", "GET") if is_safe else ("unsafe", "POST")
        body = b"" if is_safe else b"x" * self._body_bytes()
        lines = (
            f"{method} /{kind}{version}/{int(work_s * MS_PER_S)} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"{self._names.request_id}: {request_id}",
            f"{self._names.deadline_ms}: {int(deadline_s * MS_PER_S)}",
            *(() if is_safe else (f"Content-Length: {len(body)}",)),
        )
        return "\r\n".join((*lines, "", "")).encode() + body

    def _body_bytes(self) -> int:
        if self._random.random() >= LARGE_BODY_PART:
            return self._random.randint(0, 200)
        return int(self._limits.steady_body_bytes * self._random.uniform(0.6, 0.99))
