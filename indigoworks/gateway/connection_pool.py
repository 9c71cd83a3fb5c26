"""Persistent connections to one server."""

from collections import deque
from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.gateway.response_collector import HeadListener, ignore_head
from indigoworks.gateway.sent_ids import SentIds
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection

DEFAULT_KEEP_ALIVE_S = 4.0
"""Reuse time of an idle connection whose server sends no keep-alive time-out."""

KEEP_ALIVE_SHARE = 0.6
"""Share of the server's keep-alive time-out for which a connection is reused: a request that must
not run twice must not be sent on a connection that the server may be closing."""


@dataclass(frozen=True, slots=True)
class _Idle:
    connection: ServerConnection
    until_s: float


class ConnectionPool:
    """Idle connections to one server, reused in last-in first-out order.

    :param on_head: called with status and headers of each response.
    """

    def __init__(
        self,
        address: Address,
        id_header: str,
        clock: Clock,
        open_connection: OpenConnection = ServerConnection,
        on_head: HeadListener = ignore_head,
    ) -> None:
        self._on_head = on_head
        self._address = address
        self._id_header = id_header
        self._open_connection = open_connection
        self._clock = clock
        self._idle: deque[_Idle] = deque()

    def acquire(self, request_id: str, deadline_s: float) -> ServerConnection | None:
        """Return a reusable idle connection for a request that it has not carried yet, or None.

        :param deadline_s: clock reading after which the request is not sent again.
        """
        now_s = self._clock.now()
        passed_over: list[_Idle] = []
        found = None
        while self._idle and found is None:
            idle = self._idle.pop()
            if not idle.connection.is_reusable or now_s >= idle.until_s:
                idle.connection.abort()
            elif request_id in idle.connection.sent_ids:
                passed_over.append(idle)
            else:
                found = idle.connection
        self._idle.extend(reversed(passed_over))
        if found is not None:
            found.sent_ids.add(request_id, deadline_s, now_s)
        return found

    def create(self, request_id: str, deadline_s: float) -> ServerConnection:
        """Return a connection for a request; it is not yet connected."""
        now_s = self._clock.now()
        connection = self._open_connection(self._address, self._id_header)
        connection.on_head = self._on_head
        connection.opened_s = now_s
        connection.sent_ids = SentIds()
        connection.sent_ids.add(request_id, deadline_s, now_s)
        return connection

    def release(self, connection: ServerConnection, keep_alive_s: float | None) -> None:
        """Keep a connection for the next request if it can be reused; close it otherwise."""
        if not connection.is_reusable:
            connection.abort()
            return
        kept_s = DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s * KEEP_ALIVE_SHARE
        connection.watch_while_idle()
        self._idle.append(_Idle(connection, self._clock.now() + kept_s))

    def idle_opened_s(self) -> float | None:
        """Return when the oldest reusable idle connection was opened; None: there is none."""
        now_s = self._clock.now()
        return min(
            (
                each.connection.opened_s
                for each in self._idle
                if now_s < each.until_s and each.connection.is_reusable
            ),
            default=None,
        )

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = self._clock.now()
        while self._idle and self._idle[0].until_s <= now_s:
            self._idle.popleft().connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().connection.abort()
