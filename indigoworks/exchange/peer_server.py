"""HTTP server for other gateways, on the port that callers do not reach."""

from collections.abc import Callable, Mapping

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    ResponseStartLine,
)

from indigoworks.common.address import Address
from indigoworks.common.http_listener import HttpListener
from indigoworks.exchange.peer_request_reader import PeerRequestReader

MAX_REQUEST_BYTES = 64 * 1024 * 1024
NOT_FOUND_STATUS = 404

HandleRequest = Callable[[HTTPServerRequest], None]
"""Takes a request that was read completely; it writes the response itself."""


class PeerServer(HTTPServerConnectionDelegate):
    """Passes each request to the handler of its path."""

    def __init__(self, address: Address, handlers: Mapping[str, HandleRequest]) -> None:
        self._handlers = handlers
        server = HTTPServer(
            self, max_body_size=MAX_REQUEST_BYTES, max_buffer_size=MAX_REQUEST_BYTES
        )
        self._listener = HttpListener(server, address)

    def start(self) -> None:
        """Start to listen.

        :raises OSError: the address cannot be bound.
        """
        self._listener.start()

    def stop(self) -> None:
        """Accept no further connections."""
        self._listener.stop()

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> PeerRequestReader:
        """Return the delegate that reads a request; called by the HTTP library."""
        return PeerRequestReader(request_conn, self._handle)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: handlers detect the close themselves."""

    def _handle(self, request: HTTPServerRequest) -> None:
        self._handlers.get(request.path, _not_found)(request)


def _not_found(request: HTTPServerRequest) -> None:
    connection = request.connection
    assert connection is not None
    start_line = ResponseStartLine("HTTP/1.1", NOT_FOUND_STATUS, "")
    connection.write_headers(start_line, HTTPHeaders({"Content-Length": "0"}))
    connection.finish()
