"""Idle connections to one peer."""

from collections import deque
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection


@dataclass(frozen=True, slots=True)
class _Idle:
    connection: ServerConnection
    released_s: float


class PeerConnections:
    """Connections reused in last-in first-out order, so that those beyond the need expire.

    :param max_idle_s: time after which an idle connection is closed.
    :param max_idle_count: idle connections beyond this number are closed.
    """

    def __init__(
        self,
        peer: PeerAddress,
        id_header: str,
        clock: Clock,
        open_connection: OpenConnection,
        max_idle_s: float,
        max_idle_count: int,
    ) -> None:
        self.peer = peer
        self._id_header = id_header
        self._clock = clock
        self._open_connection = open_connection
        self._max_idle_s = max_idle_s
        self._max_idle_count = max_idle_count
        self._idle: deque[_Idle] = deque()

    def acquire(self) -> ServerConnection | None:
        """Return an idle connection that is open, or None."""
        self.close_expired()
        while self._idle:
            newest = self._idle.pop().connection
            if newest.is_reusable:
                return newest
            newest.abort()
        return None

    def create(self) -> ServerConnection:
        """Return a connection that is not yet connected."""
        return self._open_connection(self.peer.address, self._id_header)

    def release(self, connection: ServerConnection) -> None:
        """Keep a connection for the next request if it can be reused; close it otherwise."""
        if not connection.is_reusable:
            connection.abort()
            return
        connection.watch_while_idle()
        self._idle.append(_Idle(connection, self._clock.now()))
        if len(self._idle) > self._max_idle_count:
            self._idle.popleft().connection.abort()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        earliest_s = self._clock.now() - self._max_idle_s
        while self._idle and self._idle[0].released_s <= earliest_s:
            self._idle.popleft().connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().connection.abort()
