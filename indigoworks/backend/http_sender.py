"""Sends HTTP requests to back ends and classifies their failures."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from indigoworks.backend.errors import BackendAnswerLost, BackendError, BackendUnreachable
from indigoworks.backend.http_connection_pool import MAX_IDLE_S, HttpConnectionPool
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.transfer_deadline import TransferDeadline
from indigoworks.backend.transfer_limits import TransferLimits
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock

MessageBuilder = Callable[[], HttpMessage]
"""Builds the request once a connection is available, so that remaining times are correct."""


class HttpSender:
    """Sends each request at most once, over a bounded number of connections per server.

    Open connections may go silent without a reset. Where a request is not answered in time, the
    connections that have carried nothing since it was sent are not used again.

    :param max_idle_s: idle time after which a connection is not reused.
    """

    def __init__(
        self, clock: Clock, connections_per_server: int, max_idle_s: float = MAX_IDLE_S
    ) -> None:
        self._clock = clock
        self._max_idle_s = max_idle_s
        self._connections_per_server = connections_per_server
        self._pools: dict[Address, HttpConnectionPool] = {}

    async def send(
        self,
        address: Address,
        build: MessageBuilder,
        timeout_s: float,
        transfer: TransferLimits | None = None,
        needs_new: bool = False,
    ) -> Result[HttpResponse, BackendError]:
        """Send one request and wait for its complete response.

        :param timeout_s: seconds for waiting, connecting, sending and the response together; with
            `transfer`, for all that up to the response's headers.
        :param transfer: limits of the rest of a large response, for which a slow link may need
            longer than the time after which a server counts as lost.
        :param needs_new: use a new connection: the response must not depend on how an idle one is.
        :returns: BackendUnreachable only when no byte was sent, otherwise BackendAnswerLost.
        """
        if timeout_s <= 0:
            return Err(_unreachable(address))
        pool = self._pool_of(address)
        is_sent = False
        started_s = self._clock.now()
        try:
            async with asyncio.timeout(timeout_s) as limit:
                connection = await pool.acquire(needs_new)
                if connection is None:
                    return Err(_unreachable(address))
                try:
                    message = build()
                    is_sent = True
                    response = await connection.exchange(
                        message, TransferDeadline(self._clock, limit, transfer)
                    )
                finally:
                    pool.release(connection)
        except TimeoutError:
            if is_sent:
                pool.close_idle_since(started_s)
            return Err(_answer_lost(address) if is_sent else _unreachable(address))
        return Ok(response) if response is not None else Err(_answer_lost(address))

    def forget(self, address: Address) -> None:
        """Close the idle connections to a server that left."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._pools):
            self.forget(address)

    def _pool_of(self, address: Address) -> HttpConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = HttpConnectionPool(
                address, self._connections_per_server, self._clock, self._max_idle_s
            )
            self._pools[address] = pool
        return pool


def _unreachable(address: Address) -> BackendUnreachable:
    return BackendUnreachable(
        f"The request could not be sent to the back end at {address}.",
        "Check that the server runs and that the network path is up.",
    )


def _answer_lost(address: Address) -> BackendAnswerLost:
    return BackendAnswerLost(
        f"The back end at {address} gave no complete response; it may have run the request.",
        "Check whether the request took effect before you send it again.",
    )
