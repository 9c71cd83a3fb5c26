"""Client of the internal protocol."""

import asyncio
from itertools import count

from result import Err, Ok, Result

from indigoworks.common.address import Address
from indigoworks.wire.control_pb2 import Frame
from indigoworks.wire.errors import (
    CallTimedOut,
    ConnectFailed,
    ConnectionLost,
    PeerFailed,
    RefusedByPeer,
    WireError,
)
from indigoworks.wire.frame_codec import encode_frame, read_frame

CONNECT_TIMEOUT_S = 1.0


class RpcClient:
    """Calls one peer over one connection, opened on demand and reopened after a loss.

    Many calls may be in progress; replies are matched by correlation id, in any order.
    """

    def __init__(self, address: Address, group_id: int = 0) -> None:
        self.address = address
        self._group_id = group_id
        self._correlation_ids = count(1)
        self._pending: dict[int, asyncio.Future[Frame]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._connect_lock = asyncio.Lock()

    async def call(self, request: Frame, timeout_s: float) -> Result[Frame, WireError]:
        """Send `request` and wait for its reply.

        :param request: a frame with its payload set; correlation id and group id are filled in.
        :param timeout_s: timeout in seconds for connecting and the reply together.
        :returns: the reply; ConnectFailed when the request was never sent; RefusedByPeer when the
            peer did not handle it; PeerFailed, CallTimedOut or ConnectionLost when it may have
            been handled.
        """
        sent = False
        request.correlation_id = next(self._correlation_ids)
        request.group_id = self._group_id
        try:
            async with asyncio.timeout(timeout_s):
                writer = await self._connected_writer()
                if writer is None:
                    return Err(self._connect_failed())
                reply = asyncio.get_running_loop().create_future()
                self._pending[request.correlation_id] = reply
                sent = True
                writer.write(encode_frame(request))
                await writer.drain()
                return self._interpret(await reply)
        except TimeoutError:
            return Err(self._timed_out() if sent else self._connect_failed())
        except OSError:
            return Err(self._connection_lost())
        finally:
            self._pending.pop(request.correlation_id, None)

    def close(self) -> None:
        """Close the connection; calls in progress end with ConnectionLost."""
        if self._read_task is not None:
            self._read_task.cancel()
        self._drop_connection()

    async def _connected_writer(self) -> asyncio.StreamWriter | None:
        async with self._connect_lock:
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        self.address.host, self.address.port
                    )
            except (OSError, TimeoutError):
                return None
            self._writer = writer
            self._read_task = asyncio.ensure_future(self._read_replies(reader, writer))
            return writer

    async def _read_replies(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            received = await read_frame(reader)
            if received.is_err():
                break
            frame = received.unwrap()
            pending = self._pending.get(frame.correlation_id)
            if pending is not None and not pending.done():
                pending.set_result(frame)
        # A newer connection may already be open; it must not be dropped.
        if self._writer is writer:
            self._drop_connection()

    def _drop_connection(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for pending in self._pending.values():
            if not pending.done():
                pending.set_exception(ConnectionResetError("connection to the peer ended"))

    def _interpret(self, reply: Frame) -> Result[Frame, WireError]:
        if reply.WhichOneof("payload") != "error":
            return Ok(reply)
        error = reply.error
        # The peer may have failed after the request took effect, so this is not a refusal.
        if error.kind == PeerFailed.kind:
            return Err(PeerFailed(error.message, error.remedy, error.retry_after_s))
        return Err(RefusedByPeer(error.message, error.remedy, error.retry_after_s))

    def _connect_failed(self) -> ConnectFailed:
        return ConnectFailed(
            f"No connection to {self.address}.",
            "Check that the process there runs and that the network path is up.",
        )

    def _timed_out(self) -> CallTimedOut:
        return CallTimedOut(
            f"{self.address} did not reply in time.",
            "Check the load of that process and the network path.",
        )

    def _connection_lost(self) -> ConnectionLost:
        return ConnectionLost(
            f"The connection to {self.address} ended before the reply.",
            "Check that the process there runs and that the network path is up.",
        )
