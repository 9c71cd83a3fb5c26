"""A connection to another gateway whose loss is noticed while it is idle."""

import asyncio
import contextlib
import socket

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from indigoworks.common.address import Address
from indigoworks.common.bounded_http_connection import BoundedHttpConnection
from indigoworks.gateway.server_connection import ServerConnection

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
"""An idle connection is probed after 1 s, the least that the kernel offers, and closed after two
probes without an answer."""

UNACKNOWLEDGED_MS = 1500
"""Time after which a connection is closed whose peer's kernel acknowledges nothing sent on it. A
process that only stands still does not cause this: its kernel acknowledges what arrives."""

SIGN_TIMEOUT_S = 0.25
"""Longest wait for the interim response. A peer that takes longer stands still or is overloaded; it
does not have the request yet."""

MAX_INTERIM_BYTES = 1024

CONTINUE = b"HTTP/1.1 100 "

_OPTIONS = (
    ("TCP_KEEPIDLE", PROBE_IDLE_S),
    ("TCP_KEEPINTVL", PROBE_INTERVAL_S),
    ("TCP_KEEPCNT", PROBE_COUNT),
    ("TCP_USER_TIMEOUT", UNACKNOWLEDGED_MS),
)


class PeerConnection(ServerConnection):
    """Lets the kernel probe the connection and give up on a path that is gone.

    :ivar needs_sign: the body of the next request is sent only after an interim response (100),
        which shows that the peer's process runs and that the connection is alive.
    """

    needs_sign = False

    def __init__(self, address: Address, id_header: str) -> None:
        super().__init__(address, id_header)
        connected = self._stream.socket
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in _OPTIONS:
            # Systems other than Linux lack some of them.
            with contextlib.suppress(AttributeError, OSError):
                connected.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)

    async def _write(
        self,
        connection: BoundedHttpConnection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        if not self.needs_sign:
            await super()._write(connection, start_line, headers, body)
            return
        headers["Expect"] = "100-continue"
        connection.write_headers(start_line, headers)
        # A time-out ends the exchange as any other failure of the connection does.
        async with asyncio.timeout(SIGN_TIMEOUT_S):
            interim = await self._stream.read_until(b"\r\n\r\n", max_bytes=MAX_INTERIM_BYTES)
        if not interim.startswith(CONTINUE):
            raise StreamClosedError
        # It is not awaited: whether the whole body was written is recorded.
        connection.write(body)
        connection.finish()
        self._record_end_of_write(connection)
