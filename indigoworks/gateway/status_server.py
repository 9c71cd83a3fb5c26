"""Small HTTP server, used for the readiness probe and for metrics and administration."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from indigoworks.common.address import Address
from indigoworks.gateway.client_response import ClientResponse

MakeAnswer = Callable[[HTTPServerRequest], Awaitable[ClientResponse]]


class StatusServer:
    """Answers every request with what `make_answer` returns for it."""

    def __init__(self, address: Address, make_answer: MakeAnswer) -> None:
        self._address = address
        self._make_answer = make_answer
        self._server = HTTPServer(self._handle)
        self._answering: set[asyncio.Future[None]] = set()

    def start(self) -> None:
        """Listen.

        :raises OSError: the address cannot be bound.
        """
        sockets = bind_sockets(self._address.port, self._address.host, family=socket.AF_INET)
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.stop()

    def _handle(self, request: HTTPServerRequest) -> None:
        answering = asyncio.ensure_future(self._answer(request))
        self._answering.add(answering)
        answering.add_done_callback(self._answering.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        response = await self._make_answer(request)
        assert request.connection is not None
        headers = HTTPHeaders(dict(response.headers))
        headers["Content-Length"] = str(len(response.body))
        try:
            request.connection.write_headers(
                ResponseStartLine("HTTP/1.1", response.status, ""), headers, response.body or None
            )
            request.connection.finish()
        except StreamClosedError:
            pass
