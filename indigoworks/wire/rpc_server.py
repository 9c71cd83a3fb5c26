"""Server of the internal protocol."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from eliot import log_message

from indigoworks.common.address import Address
from indigoworks.wire.control_pb2 import ErrorReply, Frame
from indigoworks.wire.errors import BadFrame, PeerFailed, WireError
from indigoworks.wire.frame_codec import encode_frame, read_frame

FrameHandler = Callable[[Frame], Awaitable[Frame]]
"""Handles one request frame and returns the reply; correlation id and is_reply are filled in."""


class RpcServer:
    """Accepts connections and handles each request frame in a task of its own.

    A bad frame closes its connection; other connections are not affected.
    """

    def __init__(self, address: Address, handler: FrameHandler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on the address.

        :raises OSError: the address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._accept, self._address.host, self._address.port
        )

    async def stop(self) -> None:
        """Stop listening, close the connections and cancel the requests in progress."""
        if self._server is not None:
            self._server.close()
        cancelled_tasks = list(self._tasks)
        for task in cancelled_tasks:
            task.cancel()
        await asyncio.gather(*cancelled_tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._start(self._serve_connection(reader, writer))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._read_requests(reader, writer)
        finally:
            writer.close()

    async def _read_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            received = await read_frame(reader)
            if received.is_err():
                self._log_end(received.unwrap_err())
                return
            self._start(self._reply_to(received.unwrap(), writer))

    def _log_end(self, error: WireError) -> None:
        if isinstance(error, BadFrame):
            log_message(message_type="wire:bad_frame", kind=error.kind, message=error.message)

    async def _reply_to(self, request: Frame, writer: asyncio.StreamWriter) -> None:
        reply = await self._handle(request)
        reply.correlation_id = request.correlation_id
        reply.group_id = request.group_id
        reply.is_reply = True
        if writer.is_closing():
            return
        try:
            writer.write(encode_frame(reply))
            await writer.drain()
        except OSError:
            writer.close()

    async def _handle(self, request: Frame) -> Frame:
        try:
            return await self._handler(request)
        except Exception as error:
            log_message(
                message_type="wire:handler_failed",
                payload=request.WhichOneof("payload") or "",
                error=repr(error),
            )
            return Frame(
                error=ErrorReply(
                    kind=PeerFailed.kind,
                    message="The peer failed on this request.",
                    remedy="See the peer's log under wire:handler_failed.",
                )
            )
