"""Listening sockets of an HTTP server, closed without resetting pending connections."""

import socket

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from indigoworks.common.address import Address


class HttpListener:
    """Listens for a tornado server on one address."""

    def __init__(self, server: HTTPServer, address: Address) -> None:
        self._server = server
        self._address = address
        self._sockets: list[socket.socket] = []

    def start(self) -> None:
        """Bind the address and listen.

        :raises OSError: the address cannot be bound.
        """
        self._sockets = bind_sockets(self._address.port, self._address.host)
        self._server.add_sockets(self._sockets)

    def stop(self) -> None:
        """Close the listening sockets; connections that callers have opened are kept.

        Closing a listening socket resets the connections in its backlog, and their callers could
        not know whether their requests ran. So those connections are accepted first.
        """
        for listener in self._sockets:
            self._accept_pending(listener)
        self._server.stop()

    def _accept_pending(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, address = listener.accept()
            except OSError:
                return
            self._server.handle_stream(IOStream(connection), address)
