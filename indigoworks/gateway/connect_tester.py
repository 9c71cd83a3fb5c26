"""Tests whether servers accept connections."""

import asyncio

from indigoworks.gateway.server_connection import OpenConnection, ServerConnection
from indigoworks.servers.server_record import ServerRecord

CONNECT_TIMEOUT_S = 0.25

OPEN_FOR_S = 0.1
"""Time for which a new connection must stay open: something on the way may accept and reset it."""


class ConnectTester:
    """Opens a connection to a server and closes it again; its methods are `ConnectTest`s.

    :ivar connections_opened: connections opened so far, failed ones included.
    """

    def __init__(self, open_connection: OpenConnection = ServerConnection) -> None:
        self._open_connection = open_connection
        self.connections_opened = 0

    async def can_open(self, server: ServerRecord) -> bool:
        """Return whether the server accepts a connection, without looking at what follows."""
        connection = self._new_connection(server)
        if connection is None:
            return False
        is_open = await connection.connect(CONNECT_TIMEOUT_S)
        connection.abort()
        return is_open

    async def can_connect(self, server: ServerRecord) -> bool:
        """Return whether the server accepts a connection that stays open."""
        connection = self._new_connection(server)
        if connection is None:
            return False
        try:
            if not await connection.connect(CONNECT_TIMEOUT_S):
                return False
            connection.watch_while_idle()
            await asyncio.sleep(OPEN_FOR_S)
            return connection.is_reusable
        finally:
            connection.abort()

    def _new_connection(self, server: ServerRecord) -> ServerConnection | None:
        """Return an unconnected connection; None if this process has no descriptor left."""
        try:
            connection = self._open_connection(server.address, "")
        except OSError:
            return None
        self.connections_opened += 1
        return connection
