"""Takes requests that peers forward to this gateway."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from eliot import log_message
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from indigoworks.common.byte_budget import PROCESS_BUDGET
from indigoworks.forwarding.forward_client import FORWARD_ID
from indigoworks.forwarding.forward_codec import decode_forward_request, encode_forward_reply
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest

MAX_REQUESTS = 256
"""Most forwarded requests in hand at a time; further ones are declined."""

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Most bytes of the requests in hand at a time, bodies included."""

OK_STATUS = 200

Handler = Callable[[ForwardRequest], Awaitable[ForwardReply]]


class ForwardServer:
    """Passes requests to `handler` within bounds, and cancels it if the sender disconnects.

    :ivar is_stopping: requests are declined, so that the sender chooses another gateway.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._body_bytes = 0
        self.is_stopping = False

    @property
    def count(self) -> int:
        """Return the number of requests in hand."""
        return len(self._tasks)

    def handle(self, request: HTTPServerRequest) -> None:
        """Start to handle a request of a peer, which has been read completely."""
        task = asyncio.ensure_future(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        _connection_of(request).set_close_callback(partial(_cancel, task))

    async def respond(self, body: bytes) -> bytes:
        """Return the encoded reply to an encoded request."""
        request = decode_forward_request(body)
        if request is None:
            return encode_forward_reply(_declined("malformed"))
        return encode_forward_reply(await self._bounded_reply(request, len(body)))

    async def finish(self, timeout_s: float) -> None:
        """Wait until the requests in hand are answered, at most `timeout_s` seconds."""
        if self._tasks and timeout_s > 0:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

    async def _bounded_reply(self, request: ForwardRequest, size: int) -> ForwardReply:
        if self.is_stopping:
            return _declined("stopping")
        if self.count > MAX_REQUESTS or self._body_bytes + size > MAX_BODY_BYTES:
            return _declined("busy")
        self._body_bytes += size
        try:
            return await self._handler(request)
        except Exception as error:
            log_message(
                message_type="request:fault",
                level="ERROR",
                request_id=request.request_id,
                reason=f"{type(error).__name__}: {error}",
            )
            return ForwardReply(ForwardOutcome.LOST, reason="fault")
        finally:
            self._body_bytes -= size

    async def _serve(self, request: HTTPServerRequest) -> None:
        connection = _connection_of(request)
        try:
            body = await self.respond(request.body)
        except asyncio.CancelledError:
            return
        headers = HTTPHeaders(
            {FORWARD_ID: request.headers.get(FORWARD_ID, ""), "Content-Length": str(len(body))}
        )
        if self.is_stopping:
            # A request on an idle connection would be lost if the process ended at that moment.
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", OK_STATUS, "")
        share = PROCESS_BUDGET.hold(len(body))
        connection.set_close_callback(None)
        try:
            written = connection.write_headers(start_line, headers, body)
            connection.finish()
            await written
        except (StreamClosedError, OSError):
            pass
        finally:
            share.release()


def _cancel(task: "asyncio.Task[None]") -> None:
    task.cancel()


def _connection_of(request: HTTPServerRequest) -> HTTP1Connection:
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    return connection


def _declined(reason: str) -> ForwardReply:
    return ForwardReply(ForwardOutcome.DECLINED, reason=reason)
