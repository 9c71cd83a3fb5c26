"""Connections of one router to one back end."""

import asyncio

from indigoworks_lab.bench.deployment.bench_server import BenchServer


class BackendConnections:
    """A bounded number of persistent connections; a new one costs time.

    :ivar opened: connections opened so far.
    """

    def __init__(self, server: BenchServer, limit: int, delay_s: float) -> None:
        """Begin without a connection.

        :param delay_s: one-way delay to the server.
        """
        self.opened = 0
        self._server = server
        self._delay_s = delay_s
        self._permits = asyncio.Semaphore(limit)
        self._idle = 0

    async def acquire(self) -> bool:
        """Wait for a connection; False where the server accepts none. Give it back by `release`."""
        await self._permits.acquire()
        if self._idle > 0:
            self._idle -= 1
            return True
        try:
            is_open = await self._open()
        except BaseException:
            self._permits.release()
            raise
        if not is_open:
            self._permits.release()
        return is_open

    def release(self, is_open: bool) -> None:
        """Give a connection back; one that is closed is not used again."""
        if is_open:
            self._idle += 1
        else:
            self._server.open_connections -= 1
        self._permits.release()

    async def _open(self) -> bool:
        await asyncio.sleep(2 * self._delay_s + self._server.profile.connection_cost_s)
        if self._server.is_lost:
            # No machine answers; the caller's timeout ends the attempt.
            await asyncio.Event().wait()
        if self._server.open_connections >= self._server.profile.connections:
            return False
        self._server.open_connections += 1
        self.opened += 1
        return True
