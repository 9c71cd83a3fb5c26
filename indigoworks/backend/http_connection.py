"""Persistent HTTP connection to a back end."""

import socket

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.http_response_reader import HttpResponseReader
from indigoworks.backend.transfer_deadline import TransferDeadline
from indigoworks.common.address import Address

MAX_HEADERS_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class HttpConnection:
    """Sends requests to one server, one at a time, and never sends one twice.

    The HTTP library's own clients hide whether a request was sent, or retry it on their own; here
    the caller controls each step.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._stream = IOStream(
            socket.socket(family, socket.SOCK_STREAM), max_buffer_size=MAX_RESPONSE_BYTES
        )
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADERS_BYTES, max_body_size=MAX_RESPONSE_BYTES
        )

    async def connect(self) -> bool:
        """Connect; False if that failed."""
        try:
            await self._stream.connect((self._address.host, self._address.port))
        except (OSError, StreamClosedError):
            return False
        return True

    @property
    def is_open(self) -> bool:
        """Return whether neither side is known to have closed the connection."""
        return not self._stream.closed()

    def watch_while_idle(self) -> None:
        """Detect when the server closes the connection while it is idle."""
        # A stream without a close callback and without a pending read does not poll its socket.
        self._stream.set_close_callback(_ignore_close)

    async def exchange(
        self, message: HttpMessage, deadline: TransferDeadline
    ) -> HttpResponse | None:
        """Send `message` and read its response.

        The connection is closed afterwards unless it can be reused; cancelling the call closes it
        too.

        :param deadline: extended with each part of the response that arrives.
        :returns: None if the response is incomplete: the server may have run the request.
        """
        reader = HttpResponseReader(message.method, deadline)
        is_reusable = False
        try:
            await self._write_and_read(message, reader)
            response = reader.complete_response()
            is_reusable = response is not None and reader.keeps_connection
            return response
        except (OSError, StreamClosedError):
            return None
        finally:
            if not is_reusable:
                self.close()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    async def _write_and_read(self, message: HttpMessage, reader: HttpResponseReader) -> None:
        connection = HTTP1Connection(self._stream, True, self._parameters)
        start_line = RequestStartLine(message.method, message.path, "HTTP/1.1")
        headers = self._headers_of(message)
        connection.write_headers(start_line, headers, message.body or None)
        connection.finish()
        await connection.read_response(reader)

    def _headers_of(self, message: HttpMessage) -> HTTPHeaders:
        headers = HTTPHeaders()
        headers.add("Host", str(self._address))
        headers.add("Content-Length", str(len(message.body)))
        for name, value in message.headers:
            # add() validates the characters again with two regular expressions, most of its cost.
            # Names and values come from this code or were validated when they were received, and
            # line ends are rejected again when the headers are written.
            if name in headers:
                headers.add(name, value)
            else:
                headers[name] = value
        return headers


def _ignore_close() -> None:
    """Serve as close callback, which makes the stream poll its socket for `is_open`."""
