"""Persistent HTTP connection to a back end."""

import socket

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.http_response_reader import HttpResponseReader
from indigoworks.backend.transfer_deadline import TransferDeadline
from indigoworks.common.address import Address
from indigoworks.common.bounded_http_connection import BoundedHttpConnection
from indigoworks.common.bounded_stream import BoundedStream
from indigoworks.common.exceeded_bound import ExceededBound
from indigoworks.common.exceeded_responses import EXCEEDED_RESPONSES


class HttpConnection:
    """Sends requests to one server, one at a time, and never sends one twice.

    The HTTP library's own clients hide whether a request was sent, or retry it on their own; here
    the caller controls each step.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._stream = BoundedStream(socket.socket(family, socket.SOCK_STREAM))

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
        """Detect when the server closes the connection, or sends anything, while it is idle."""
        self._stream.on_surplus = self._end_with_surplus
        if self._stream._read_buffer_size:
            self._end_with_surplus()
            return
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
        reader = HttpResponseReader(message.method, deadline, self.close)
        self._stream.on_surplus = None
        response: HttpResponse | None = None
        is_reusable = False
        try:
            await self._write_and_read(message, reader)
            response = reader.complete_response()
            is_reusable = response is not None and reader.keeps_connection
            return response
        except (OSError, StreamClosedError):
            return None
        finally:
            if response is None:
                reader.drop()
            if not is_reusable:
                self.close()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    async def _write_and_read(self, message: HttpMessage, reader: HttpResponseReader) -> None:
        connection = BoundedHttpConnection(self._stream)
        start_line = RequestStartLine(message.method, message.path, "HTTP/1.1")
        headers = self._headers_of(message)
        connection.write_message(start_line, headers, message.body)
        try:
            await connection.read_response(reader)
        finally:
            exceeded = reader.exceeded or connection.exceeded
            if exceeded is not None:
                EXCEEDED_RESPONSES.record(self._address, exceeded, reader.body_bytes)

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

    def _end_with_surplus(self) -> None:
        """Close the connection if bytes arrived that no request is due."""
        if not self._stream.closed() and self._stream._read_buffer_size:
            EXCEEDED_RESPONSES.record(self._address, ExceededBound.SURPLUS, 0)
            self.close()


def _ignore_close() -> None:
    """Serve as close callback, which makes the stream poll its socket for `is_open`."""
