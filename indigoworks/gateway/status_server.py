"""HTTP server for the probe of readiness, and one for the metrics."""

import socket
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from indigoworks.common.address import Address
from indigoworks.gateway.final_answer import FinalAnswer


class StatusServer:
    """Answers every request with what `make_answer` returns for its path."""

    def __init__(self, address: Address, make_answer: Callable[[str], FinalAnswer]) -> None:
        self._address = address
        self._make_answer = make_answer
        self._server = HTTPServer(self._handle)

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
        answer = self._make_answer(request.path)
        assert request.connection is not None
        headers = HTTPHeaders(dict(answer.headers))
        headers["Content-Length"] = str(len(answer.body))
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", answer.status, ""), headers, answer.body or None
        )
        request.connection.finish()
