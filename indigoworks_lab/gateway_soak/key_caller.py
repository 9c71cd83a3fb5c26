"""Callers of a soak whose requests carry keys."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

from indigoworks.gateway.header_names import HeaderNames
from indigoworks_lab.gateway_soak.caller_connection import CallerConnection, RawAnswer
from indigoworks_lab.gateway_soak.hot_keys import HotKeys
from indigoworks_lab.gateway_soak.soak_caller import HOST_NAME, CalledGateway

RECONNECT_S = 0.1
REST_S = (0.0, 0.06)
WORK_MS = (20, 90)
DEADLINE_S = 3.0
PATIENCE_S = 1.0
MS_PER_S = 1000.0


def _ignore(request_id: str, status: int) -> None:
    """Do nothing: the default of `record`."""


class KeyCaller:
    """Keeps a connection to one gateway until that ends it, then opens another one.

    :param route: beginning of the path of a route to the service with keys.
    :param statuses: counts the answers; 0: none came.
    :param record: called with the id of each request and the status of its answer.
    """

    def __init__(
        self,
        name: str,
        gateway: CalledGateway,
        names: HeaderNames,
        route: str,
        keys: HotKeys,
        random: Random,
        statuses: Counter[int],
        record: Callable[[str, int], None] = _ignore,
    ) -> None:
        self._name = name
        self._gateway = gateway
        self._names = names
        self._route = route
        self._keys = keys
        self._random = random
        self._statuses = statuses
        self._record = record
        self._count = 0

    async def run(self) -> None:
        """Call for ever."""
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
        """Send one request; returns whether the connection can be used again."""
        if connection.is_ended() or not await connection.send(self._message()):
            return False
        try:
            async with asyncio.timeout(DEADLINE_S + PATIENCE_S):
                outcome = await connection.receive()
        except TimeoutError:
            self._record_status(0)
            return False
        self._record_status(outcome.status if isinstance(outcome, RawAnswer) else 0)
        return isinstance(outcome, RawAnswer) and outcome.keeps

    def _record_status(self, status: int) -> None:
        self._statuses[status] += 1
        self._record(f"{self._name}-{self._count}", status)

    def _message(self) -> bytes:
        self._count += 1
        lines = (
            f"GET {self._route}{self._random.randint(*WORK_MS)} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"{self._names.request_id}: {self._name}-{self._count}",
            f"{self._names.deadline_ms}: {int(DEADLINE_S * MS_PER_S)}",
            f"{self._names.key}: {self._keys.draw()}",
        )
        return "\r\n".join((*lines, "", "")).encode()
