"""Forwards requests to peers."""

import asyncio
from collections.abc import Callable, Iterable

from tornado.httputil import HTTPHeaders

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.forwarding.forward_codec import decode_forward_reply, encode_forward_request
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.forwarding.forward_reply import ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.forwarding.peer_connections import PeerConnections
from indigoworks.gateway.response_collector import ResponseCollector
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection

FORWARD_PATH = "/forward"
FORWARD_ID = "Forward-Id"
"""Header that tells the reply to one request from a late one to another."""

CONNECT_TIMEOUT_S = 0.2

SIGN_OF_LIFE_S = 0.48
"""Age up to which a sign of life of the peer counts: a request that must not run twice would be
lost on a connection that has died unnoticed."""

MAX_IDLE_S = 6.0
"""Time after which an idle connection is closed if the peer's datagrams are signs of life. Gateways
send each other about one request a second."""

MAX_IDLE_CONNECTIONS = 4
"""Idle connections kept for each peer. A strong gateway has connections from all others."""

OK_STATUS = 200

HeardTime = Callable[[str], float | None]
"""Returns when a node was last heard by datagram; None: never."""


class ForwardClient:
    """Sends each request once, over an idle or a new connection to the peer.

    An idle connection is used if a sign of life of the peer is at most SIGN_OF_LIFE_S old: the last
    reply on the connection, or a datagram that arrived after it. For a request that may be repeated
    any open connection is used.

    Cancelling `send` closes the connection, by which the peer learns that the caller has left.

    :param heard_time_s: without it only replies count as signs of life.
    :ivar connections_opened: connections opened so far.
    """

    def __init__(
        self,
        clock: Clock,
        open_connection: OpenConnection = ServerConnection,
        heard_time_s: HeardTime | None = None,
    ) -> None:
        self._clock = clock
        self._open_connection = open_connection
        self._heard_time_s = heard_time_s
        self._connections: dict[str, PeerConnections] = {}
        self._number = 0
        self._in_progress: dict[str, int] = {}
        self._repeatable: dict[str, set[asyncio.Timeout]] = {}
        self.connections_opened = 0

    def in_progress(self, node: str) -> int:
        """Return the number of requests that a peer has from here."""
        return self._in_progress.get(node, 0)

    async def send(
        self, peer: PeerAddress, request: ForwardRequest, timeout_s: float, may_repeat: bool = False
    ) -> ForwardReply | ForwardFailure:
        """Forward a request and return the reply, or why there is none.

        :param may_repeat: the request may run twice. `take_back` then ends the wait for the reply.
        """
        self._in_progress[peer.node] = self.in_progress(peer.node) + 1
        try:
            return await self._send(peer, request, timeout_s, may_repeat)
        finally:
            self._in_progress[peer.node] -= 1

    def holders(self) -> Iterable[str]:
        """Return the peers that have a request from here which may be repeated."""
        return [node for node, waiting in self._repeatable.items() if waiting]

    def take_back(self, node: str) -> int:
        """End the waits for replies to requests that may be repeated; return their number."""
        waiting = self._repeatable.get(node, set())
        now_s = asyncio.get_running_loop().time()
        waits = [each for each in waiting if not each.expired()]
        for each in waits:
            each.reschedule(now_s)
        waiting.clear()
        return len(waits)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        for each in self._connections.values():
            each.close_expired()

    def close(self) -> None:
        """Close all idle connections."""
        for each in self._connections.values():
            each.close()

    # ---- helpers ----

    async def _send(
        self, peer: PeerAddress, request: ForwardRequest, timeout_s: float, may_repeat: bool
    ) -> ForwardReply | ForwardFailure:
        connections = self._connections_to(peer)
        connection = connections.acquire(self._released_after_s(peer.node, may_repeat))
        if connection is None:
            connection = connections.create()
            self.connections_opened += 1
            if not await connection.connect(min(CONNECT_TIMEOUT_S, timeout_s)):
                return ForwardFailure.NOT_SENT
        response = await self._exchange(connection, peer, request, timeout_s, may_repeat)
        if response is None:
            is_whole = connection.is_request_sent
            return ForwardFailure.NO_REPLY if is_whole else ForwardFailure.NOT_SENT
        connections.release(connection)
        reply = decode_forward_reply(response.body) if response.status == OK_STATUS else None
        return ForwardFailure.NO_REPLY if reply is None else reply

    def _released_after_s(self, node: str, may_repeat: bool) -> float:
        """Return the clock reading after which a connection must have been released to be used."""
        earliest_s = self._clock.now() - SIGN_OF_LIFE_S
        if self._heard_time_s is None:
            return earliest_s
        heard_s = self._heard_time_s(node)
        is_heard = heard_s is not None and heard_s > earliest_s
        return float("-inf") if may_repeat or is_heard else earliest_s

    async def _exchange(
        self,
        connection: ServerConnection,
        peer: PeerAddress,
        request: ForwardRequest,
        timeout_s: float,
        may_repeat: bool,
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
        waiting = self._repeatable.setdefault(peer.node, set())
        wait: asyncio.Timeout | None = None
        try:
            async with asyncio.timeout(timeout_s) as wait:
                if may_repeat:
                    waiting.add(wait)
                return await connection.exchange("POST", FORWARD_PATH, headers, body, number)
        except TimeoutError:
            return None
        finally:
            if wait is not None:
                waiting.discard(wait)

    def _connections_to(self, peer: PeerAddress) -> PeerConnections:
        known = self._connections.get(peer.node)
        if known is not None and known.peer == peer:
            return known
        if known is not None:
            known.close()
        made = self._connections[peer.node] = PeerConnections(
            peer,
            FORWARD_ID,
            self._clock,
            self._open_connection,
            SIGN_OF_LIFE_S if self._heard_time_s is None else MAX_IDLE_S,
            MAX_IDLE_CONNECTIONS,
        )
        return made
