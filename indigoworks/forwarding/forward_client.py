"""Forwards requests to peers."""

import asyncio

from tornado.httputil import HTTPHeaders

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.forwarding.forward_codec import decode_forward_reply, encode_forward_request
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.forwarding.forward_reply import ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.gateway.connection_pool import ConnectionPool
from indigoworks.gateway.response_collector import ResponseCollector
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection

FORWARD_PATH = "/forward"
FORWARD_ID = "Forward-Id"
"""Header that tells the reply to one request from a late one to another."""

CONNECT_TIMEOUT_S = 0.2
KEEP_ALIVE_S = 0.8
"""Keep-alive time-out of idle connections, of which a pool uses a part: one that rests for longer
may have died without a sign, and a request that must not run twice would be lost on it."""

OK_STATUS = 200
NO_ROOM_STATUS = 503
"""Status of a peer that had no memory for the request, see `PeerRequestReader`."""


class ForwardClient:
    """Sends each request once, over a pooled or a new connection to the peer.

    Cancelling `send` closes the connection, by which the peer learns that the caller has left.
    """

    def __init__(self, clock: Clock, open_connection: OpenConnection = ServerConnection) -> None:
        self._clock = clock
        self._open_connection = open_connection
        self._pools: dict[str, tuple[PeerAddress, ConnectionPool]] = {}
        self._number = 0
        self._in_progress: dict[str, int] = {}

    def in_progress(self, node: str) -> int:
        """Return the number of requests that a peer has from here."""
        return self._in_progress.get(node, 0)

    async def send(
        self, peer: PeerAddress, request: ForwardRequest, timeout_s: float
    ) -> ForwardReply | ForwardFailure:
        """Forward a request and return the reply, or why there is none."""
        self._in_progress[peer.node] = self.in_progress(peer.node) + 1
        try:
            return await self._send(peer, request, timeout_s)
        finally:
            self._in_progress[peer.node] -= 1

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        for _, pool in self._pools.values():
            pool.close_expired()

    def close(self) -> None:
        """Close all idle connections."""
        for _, pool in self._pools.values():
            pool.close()

    async def _send(
        self, peer: PeerAddress, request: ForwardRequest, timeout_s: float
    ) -> ForwardReply | ForwardFailure:
        pool = self._pool(peer)
        connection = pool.acquire()
        if connection is None:
            connection = pool.create()
            if not await connection.connect(min(CONNECT_TIMEOUT_S, timeout_s)):
                return ForwardFailure.NOT_SENT
        response = await self._exchange(connection, peer, request, timeout_s)
        if response is None:
            is_whole = connection.is_request_sent
            return ForwardFailure.NO_REPLY if is_whole else ForwardFailure.NOT_SENT
        pool.release(connection, KEEP_ALIVE_S)
        if response.status == NO_ROOM_STATUS:
            # The peer dropped the request while it read it: as if it had not been sent whole.
            return ForwardFailure.NOT_SENT
        reply = decode_forward_reply(response.body) if response.status == OK_STATUS else None
        return ForwardFailure.NO_REPLY if reply is None else reply

    async def _exchange(
        self,
        connection: ServerConnection,
        peer: PeerAddress,
        request: ForwardRequest,
        timeout_s: float,
    ) -> ResponseCollector | None:
        body = encode_forward_request(request)
        self._number += 1
        number = str(self._number)
        headers = HTTPHeaders(
            {
                "Host": str(peer.address),
                FORWARD_ID: number,
                "Content-Length": str(len(body)),
            }
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.exchange("POST", FORWARD_PATH, headers, body, number)
        except TimeoutError:
            return None

    def _pool(self, peer: PeerAddress) -> ConnectionPool:
        known = self._pools.get(peer.node)
        if known is not None and known[0] == peer:
            return known[1]
        if known is not None:
            known[1].close()
        pool = ConnectionPool(peer.address, FORWARD_ID, self._clock, self._open_connection)
        self._pools[peer.node] = (peer, pool)
        return pool
