"""One persistent HTTP connection to a server."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from indigoworks.common.address import Address
from indigoworks.common.bounded_http_connection import BoundedHttpConnection
from indigoworks.common.bounded_stream import BoundedStream
from indigoworks.common.exceeded_bound import ExceededBound
from indigoworks.common.exceeded_responses import EXCEEDED_RESPONSES
from indigoworks.gateway.response_collector import HeadListener, ResponseCollector, ignore_head
from indigoworks.gateway.sent_ids import SentIds

SURPLUS_LIMIT = 3
"""Responses to other requests that are skipped before a connection is closed."""

OpenConnection = Callable[[Address, str], "ServerConnection"]
"""Creates an unconnected connection for an address; the simulation uses its own class."""

_LINGER_ABORT = struct.pack("ii", 1, 0)


class ServerConnection:
    """Sends requests to one server, one at a time, each once.

    A response belongs to a request only if it has the request's id; a late response to an earlier
    request is skipped.

    :param id_header: header of requests and responses with the request id.
    :ivar was_refused: whether no process listened at the address.
    :ivar is_request_sent: whether the newest request was handed to the kernel whole.
    :ivar opened_s: clock reading at which its pool created it.
    :ivar sent_ids: ids of the requests that it has carried, as its pool records them.
    :ivar exceeded: the bound that ended the newest response; None if it ended otherwise.
    :ivar on_head: called with the head of each response, also of a truncated or late one.
    """

    on_head: HeadListener = staticmethod(ignore_head)
    was_refused = False
    is_request_sent = False
    opened_s = 0.0
    sent_ids: SentIds
    exceeded: ExceededBound | None = None

    def __init__(self, address: Address, id_header: str) -> None:
        self._address = address
        self._id_header = id_header
        self._stream = BoundedStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self._stream.set_nodelay(True)

    async def connect(self, timeout_s: float) -> bool:
        """Connect; return False if that fails or times out."""
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
        """Return whether the connection is open and has no unexpected data."""
        return not self._stream.closed() and self._stream._read_buffer_size == 0

    def watch_while_idle(self) -> None:
        """Detect a close or surplus bytes by the server while no request is in flight."""
        self._stream.on_surplus = self._end_with_surplus
        if self._stream._read_buffer_size:
            self._end_with_surplus()
        # A stream without a close callback and a pending read does not watch its socket.
        self._stream.set_close_callback(_ignore_close)

    async def exchange(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, request_id: str
    ) -> ResponseCollector | None:
        """Send a request and read its response; the connection stays open if it can be reused.

        Cancelling the call aborts the connection.

        :returns: None without a complete response: the server may have run the request.
        """
        can_continue = self.is_request_sent = False
        self._stream.on_surplus = None
        try:
            connection = BoundedHttpConnection(self._stream)
            await self._write(
                connection, RequestStartLine(method, target, "HTTP/1.1"), headers, body
            )
            for _ in range(SURPLUS_LIMIT):
                response, is_read_whole = await self._read_answer(connection)
                if response is None:
                    return None
                if response.headers.get(self._id_header) == request_id:
                    can_continue = is_read_whole and response.keeps_connection
                    if can_continue and not self.is_reusable:
                        self._end_with_surplus()
                    return response
                if not (is_read_whole and response.keeps_connection):
                    return None
                response.drop()
                connection = BoundedHttpConnection(self._stream)
                connection._request_start_line = RequestStartLine(method, target, "HTTP/1.1")
                connection._finish_future.set_result(None)
            return None
        except (OSError, StreamClosedError):
            return None
        finally:
            if not can_continue:
                self.abort()

    async def exchange_any(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, request_id: str
    ) -> ResponseCollector | None:
        """Send the first request over a new connection; its response may lack an id.

        Unlike `exchange`, it leaves closing the connection to the caller, unless the exchange is
        incomplete.
        """
        try:
            connection = BoundedHttpConnection(self._stream)
            connection.write_message(RequestStartLine(method, target, "HTTP/1.1"), headers, body)
            response, is_read_whole = await self._read_answer(connection)
        except (OSError, StreamClosedError):
            return None
        if not is_read_whole:
            self.abort()
        if response is None or response.headers.get(self._id_header, request_id) != request_id:
            return None
        return response

    async def _write(
        self,
        connection: BoundedHttpConnection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        """Write a whole request.

        :raises StreamClosedError: the connection has ended.
        """
        connection.write_message(start_line, headers, body)
        self._record_end_of_write(connection)

    def _record_end_of_write(self, connection: BoundedHttpConnection) -> None:
        """Record when the request that was just written has been handed to the kernel."""
        if connection._pending_write is not None:
            connection._pending_write.add_done_callback(self._record_write)

    def _record_write(self, writing: "asyncio.Future[None]") -> None:
        """Record the end of a write, which fails if the connection ended before."""
        self.is_request_sent = not writing.cancelled() and writing.exception() is None

    def abort(self) -> None:
        """Reset the connection; the server may still read data that has reached its kernel."""
        if self._stream.closed():
            return
        with contextlib.suppress(OSError):
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ABORT)
        self._stream.close()

    async def _read_answer(
        self, connection: BoundedHttpConnection
    ) -> tuple[ResponseCollector | None, bool]:
        """Read one response; the second value is True if the exchange is complete."""
        collector = ResponseCollector(self.on_head, self.abort)
        reading: asyncio.Future[bool] = asyncio.ensure_future(connection.read_response(collector))
        reading.add_done_callback(_retrieve)
        try:
            parts: set[asyncio.Future[Any]] = {reading, collector.finished}
            await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            reading.cancel()
            collector.drop()
            raise
        if not collector.finished.done():
            self._record_exceeded(collector.exceeded or connection.exceeded, collector.body_bytes)
            collector.drop()
            return None, False
        if not collector.has_known_end and self._stream.error is not None:
            # A response without a length is incomplete if its connection was reset.
            collector.drop()
            return None, False
        is_read_whole = reading.done()
        if not is_read_whole:
            # The server answered before it had read the whole request: wait for a millisecond, then
            # abandon this connection.
            await asyncio.wait({reading}, timeout=0.001)
            is_read_whole = reading.done()
        if not is_read_whole:
            reading.cancel()
        return collector, is_read_whole

    def _end_with_surplus(self) -> None:
        """Close the connection if bytes arrived that no request is due."""
        if not self._stream.closed() and self._stream._read_buffer_size:
            self._record_exceeded(ExceededBound.SURPLUS, 0)
            self.abort()

    def _record_exceeded(self, bound: ExceededBound | None, body_bytes: int) -> None:
        self.exceeded = bound
        if bound is not None:
            EXCEEDED_RESPONSES.record(self._address, bound, body_bytes)
            self.abort()


def _ignore_close() -> None:
    """Do nothing on close: `is_reusable` reports it."""


def _is_refusal(error: Exception) -> bool:
    cause = error.real_error if isinstance(error, StreamClosedError) else error
    return isinstance(cause, ConnectionRefusedError)


def _retrieve(reading: asyncio.Future[bool]) -> None:
    """Retrieve the exception of reading, which the collected response reflects."""
    if not reading.cancelled():
        reading.exception()
