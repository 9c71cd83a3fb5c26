"""Forwards requests to peers."""

import asyncio
from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.forwarding.forward_codec import decode_forward_reply, encode_forward_request
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.forwarding.forward_reply import ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.forwarding.peer_connection import PeerConnection
from indigoworks.forwarding.peer_connections import PeerConnections
from indigoworks.gateway.response_collector import ResponseCollector
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection

FORWARD_PATH = "/forward"
FORWARD_ID = "Forward-Id"
"""Header that tells the reply to one request from a late one to another."""

CONNECT_TIMEOUT_S = 0.2

SIGN_OF_LIFE_S = 0.48
"""Age up to which a reply shows that a peer and the connections to it are alive: a request that
must not run twice would be lost on a connection that has died unnoticed."""

MAX_IDLE_S = 6.0
"""Time after which an idle connection to a dispatcher is closed. Gateways send each other about one
request a second."""

MAX_IDLE_CONNECTIONS = 4
"""Idle connections kept for each peer. A strong gateway has connections from all others."""

OK_STATUS = 200
NO_ROOM_STATUS = 503
"""Status of a peer that had no memory for the request, see `PeerRequestReader`."""


class ForwardClient:
    """Sends each request once, over an idle or a new connection to the peer.

    Without `keeps_warm` an idle connection is used within SIGN_OF_LIFE_S of its last reply.
    Otherwise any open connection is used; a request that must not run twice asks for an interim
    response first if the peer has sent no reply within SIGN_OF_LIFE_S.

    Cancelling `send` closes the connection, by which the peer learns that the caller has left.

    :param keeps_warm: idle connections are kept for MAX_IDLE_S; needs `PeerConnection`.
    :ivar connections_opened: connections opened so far.
    :ivar signs_requested: interim responses asked for so far.
    """

    def __init__(
        self,
        clock: Clock,
        open_connection: OpenConnection = ServerConnection,
        keeps_warm: bool = False,
    ) -> None:
        self._clock = clock
        self._open_connection = open_connection
        self._max_idle_s = MAX_IDLE_S if keeps_warm else SIGN_OF_LIFE_S
        self._replied_s: dict[str, float] = {}
        self._connections: dict[str, PeerConnections] = {}
        self._number = 0
        self._in_progress: dict[str, int] = {}
        self._repeatable: dict[str, set[asyncio.Timeout]] = {}
        self.connections_opened = 0
        self.signs_requested = 0

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
        connection = connections.acquire()
        if connection is None:
            connection = connections.create()
            self.connections_opened += 1
            if not await connection.connect(min(CONNECT_TIMEOUT_S, timeout_s)):
                return ForwardFailure.NOT_SENT
        if isinstance(connection, PeerConnection):
            connection.needs_sign = not may_repeat and not self._is_alive(peer.node)
            self.signs_requested += connection.needs_sign
        response = await self._exchange(connection, peer, request, timeout_s, may_repeat)
        if response is None:
            is_whole = connection.is_request_sent
            return ForwardFailure.NO_REPLY if is_whole else ForwardFailure.NOT_SENT
        connections.release(connection)
        self._replied_s[peer.node] = self._clock.now()
        if response.status == NO_ROOM_STATUS:
            # The peer dropped the request while it read it: as if it had not been sent whole.
            return ForwardFailure.NOT_SENT
        reply = decode_forward_reply(response.body) if response.status == OK_STATUS else None
        return ForwardFailure.NO_REPLY if reply is None else reply

    def _is_alive(self, node: str) -> bool:
        """Return whether a peer has sent a reply recently."""
        replied_s = self._replied_s.get(node)
        return replied_s is not None and self._clock.now() - replied_s < SIGN_OF_LIFE_S

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
            self._max_idle_s,
            MAX_IDLE_CONNECTIONS,
        )
        return made
