"""One persistent HTTP connection to a server."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from indigoworks.common.address import Address
from indigoworks.gateway.response_collector import HeadListener, ResponseCollector, ignore_head

MAX_HEADER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024

SURPLUS_LIMIT = 3
"""Answers to other requests that are passed over before a connection is given up."""

OpenConnection = Callable[[Address, str], "ServerConnection"]
"""Makes a connection to an address that is not yet connected, as `ServerConnection` does itself;
the simulation has its own."""

_LINGER_ABORT = struct.pack("ii", 1, 0)


class ServerConnection:
    """Sends requests to one server, one at a time, each once.

    An answer belongs to a request only if it names the request's id; a surplus answer that came
    late is passed over.

    :param id_header: header in which request and answer name the id.
    :ivar was_refused: nobody listened at the address.
    :ivar on_head: takes the head of each answer, also of one that is cut short or comes late.
    """

    on_head: HeadListener = staticmethod(ignore_head)

    def __init__(self, address: Address, id_header: str) -> None:
        self._address = address
        self.was_refused = False
        self._id_header = id_header
        self._stream = IOStream(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=MAX_ANSWER_BYTES
        )
        self._stream.set_nodelay(True)
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_ANSWER_BYTES
        )

    async def connect(self, timeout_s: float) -> bool:
        """Connect; False where no connection came about in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._stream.connect((self._address.host, self._address.port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            self.was_refused = _is_refusal(error)
            self.abort()
            return False
        return True

    @property
    def is_reusable(self) -> bool:
        """Tell whether the connection is open and nothing has come that was not asked for."""
        return not self._stream.closed() and self._stream._read_buffer_size == 0

    def watch_while_idle(self) -> None:
        """Notice a close by the server while no request is under way."""
        # A stream without a close callback and without a read does not listen to its socket.
        self._stream.set_close_callback(_ignore_close)

    async def exchange(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, request_id: str
    ) -> ResponseCollector | None:
        """Send a request and read its answer; the connection stays open if it can be used again.

        Cancelling the call breaks the connection off.

        :returns: None where no whole answer to this request came: the server may have run it.
        """
        can_continue = False
        try:
            connection = HTTP1Connection(self._stream, True, self._parameters)
            connection.write_headers(
                RequestStartLine(method, target, "HTTP/1.1"), headers, body or None
            )
            connection.finish()
            for _ in range(SURPLUS_LIMIT):
                answer, is_read_whole = await self._read_answer(connection)
                if answer is None:
                    return None
                if answer.headers.get(self._id_header) == request_id:
                    can_continue = is_read_whole and answer.keeps_connection
                    return answer
                if not (is_read_whole and answer.keeps_connection):
                    return None
                connection = HTTP1Connection(self._stream, True, self._parameters)
                connection._request_start_line = RequestStartLine(method, target, "HTTP/1.1")
                connection._finish_future.set_result(None)
            return None
        except (OSError, StreamClosedError):
            return None
        finally:
            if not can_continue:
                self.abort()

    async def exchange_any(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> ResponseCollector | None:
        """As `exchange`, for a new connection that carries one request: any answer is its own."""
        try:
            connection = HTTP1Connection(self._stream, True, self._parameters)
            headers["Content-Length"] = str(len(body))
            connection.write_headers(RequestStartLine(method, target, "HTTP/1.1"), headers, body)
            connection.finish()
            answer, _ = await self._read_answer(connection)
            return answer
        except (OSError, StreamClosedError):
            return None

    def abort(self) -> None:
        """Break the connection off; a server may still read what has reached its kernel."""
        if self._stream.closed():
            return
        with contextlib.suppress(OSError):
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ABORT)
        self._stream.close()

    async def _read_answer(
        self, connection: HTTP1Connection
    ) -> tuple[ResponseCollector | None, bool]:
        """Read one answer; the second value tells that nothing of the exchange is left to do."""
        collector = ResponseCollector(self.on_head)
        reading: asyncio.Future[bool] = asyncio.ensure_future(connection.read_response(collector))
        reading.add_done_callback(_retrieve)
        try:
            parts: set[asyncio.Future[Any]] = {reading, collector.finished}
            await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            reading.cancel()
            raise
        if not collector.finished.done():
            return None, False
        if not collector.has_known_end and self._stream.error is not None:
            # An answer without a length that was reset on its way is not whole.
            return None, False
        is_read_whole = reading.done()
        if not is_read_whole:
            # The server answered before it had read the whole request: let a step of the loop
            # pass, then leave this connection.
            await asyncio.wait({reading}, timeout=0.001)
            is_read_whole = reading.done()
        if not is_read_whole:
            reading.cancel()
        return collector, is_read_whole


def _ignore_close() -> None:
    """Serve as close callback: `is_reusable` tells the rest."""


def _is_refusal(error: Exception) -> bool:
    cause = error.real_error if isinstance(error, StreamClosedError) else error
    return isinstance(cause, ConnectionRefusedError)


def _retrieve(reading: asyncio.Future[bool]) -> None:
    """Take note of how reading ended: a broken connection shows in what was read."""
    if not reading.cancelled():
        reading.exception()
