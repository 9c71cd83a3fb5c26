"""Pool of persistent connections to one back end."""

import asyncio
from collections import deque

from indigoworks.backend.http_connection import HttpConnection
from indigoworks.backend.http_idle_connection import HttpIdleConnection
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock

MAX_IDLE_S = 30.0
"""Idle time after which a connection is not reused: the server may be closing it."""


class HttpConnectionPool:
    """Lends connections to one server; at most `limit` are in use, and further callers wait.

    :param max_idle_s: idle time after which a connection is not reused.
    """

    def __init__(
        self, address: Address, limit: int, clock: Clock, max_idle_s: float = MAX_IDLE_S
    ) -> None:
        self._address = address
        self._clock = clock
        self._max_idle_s = max_idle_s
        self._permits = asyncio.Semaphore(limit)
        self._idle: deque[HttpIdleConnection] = deque()

    async def acquire(self, is_new: bool = False) -> HttpConnection | None:
        """Wait while `limit` connections are in use; return one, or None if connecting failed.

        Every connection that is returned must be returned to the pool by `release`.

        :param is_new: return a new connection even if an idle one could be reused.
        """
        await self._permits.acquire()
        connection = None if is_new else self._pop_idle()
        if connection is not None:
            return connection
        try:
            return await self._open()
        except BaseException:
            self._permits.release()
            raise

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool; if it is still open, it is kept for the next request."""
        if connection.is_open:
            connection.watch_while_idle()
            self._idle.append(HttpIdleConnection(connection, self._clock.now()))
        self._permits.release()

    def close_idle_since(self, before_s: float) -> None:
        """Close the idle connections that have carried nothing since the clock read `before_s`."""
        idle = list(self._idle)
        self._idle.clear()
        for each in idle:
            if each.idle_since_s < before_s:
                each.connection.close()
            else:
                self._idle.append(each)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().connection.close()

    def _pop_idle(self) -> HttpConnection | None:
        earliest_s = self._clock.now() - self._max_idle_s
        while self._idle:
            # The most recently used one is the least likely to be closed by the server.
            idle = self._idle.pop()
            if idle.connection.is_open and idle.idle_since_s >= earliest_s:
                return idle.connection
            idle.connection.close()
        return None

    async def _open(self) -> HttpConnection | None:
        connection = HttpConnection(self._address)
        is_connected = False
        try:
            is_connected = await connection.connect()
        finally:
            if not is_connected:
                connection.close()
        if not is_connected:
            self._permits.release()
            return None
        return connection
