"""Sends requests to servers."""

import asyncio
from collections.abc import Callable
from functools import partial

from tornado.httputil import HTTPHeaders

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.connected_servers import oldest_connected
from indigoworks.gateway.connection_pool import ConnectionPool
from indigoworks.gateway.header_names import HeaderNames
from indigoworks.gateway.hop_headers import end_to_end_headers
from indigoworks.gateway.response_collector import ResponseCollector
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection
from indigoworks.gateway.server_response import BROKEN, ExchangeResult, ServerResponse
from indigoworks.servers.self_reported_load import SelfReportedLoad
from indigoworks.servers.server_notice import NOTHING_ASKED, ServerNotice
from indigoworks.servers.server_record import ServerRecord

CONNECT_TIMEOUT_S = 0.3
"""Time-out of a new connection: machines are milliseconds apart, and a server whose listen queue is
full would accept the connection only seconds later."""

ANSWER_MARGIN_S = 0.03
"""Time after the deadline in which a server's own time-out response may still arrive."""

MS_PER_S = 1000.0

MISDIRECTED = 421
"""Status of a server that did not run a request because it was meant for another server."""


CONNECTION_REFUSED = "refused"
"""Detail of a request that was not sent because its server refused the connection."""

EXCEEDED = "exceeded"
"""Detail of a request whose response exceeded a bound."""

ReadNotice = Callable[[int, HTTPHeaders], ServerNotice]
"""Parses a server's notice from status and headers of a response."""


def read_nothing(status: int, headers: HTTPHeaders) -> ServerNotice:
    """Parser for platforms whose servers send no notices."""
    return NOTHING_ASKED


def _ignore_notice(server_id: str, notice: ServerNotice) -> None:
    """Default of a callback until it is set."""


def _ignore_server(server_id: str) -> None:
    """Default of a callback until it is set."""


class RequestSender:
    """Sends each request once, over a pooled or a new connection.

    :param read_server_load: parses the load report in a header; returns None if unreadable.
    :param read_notice: parses a server's notice from the head of a response.
    :ivar on_notice: called with the id of a server and its notice.
    :ivar on_no_limit: called with the id of a server whose response states no limit, if
        `is_limit_known` returns that a limit was known.
    :ivar is_held_back: returns whether a server has asked for no further requests.
    :ivar connections_opened: connections opened so far.
    :ivar held_back: requests that had a server and a connection, and were not sent because the
        server had asked for a rest meanwhile.
    """

    def __init__(
        self,
        names: HeaderNames,
        clock: Clock,
        read_server_load: Callable[[str], SelfReportedLoad | None] = lambda text: None,
        open_connection: OpenConnection = ServerConnection,
        read_notice: ReadNotice = read_nothing,
    ) -> None:
        self._read_notice = read_notice
        self.on_notice: Callable[[str, ServerNotice], None] = _ignore_notice
        self.on_no_limit: Callable[[str], None] = _ignore_server
        self.is_limit_known: Callable[[str], bool] = lambda server_id: False
        self.is_held_back: Callable[[str], bool] = lambda server_id: False
        self._open_connection = open_connection
        self._names = names
        self._read_server_load = read_server_load
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}
        self._pools_by_zone: dict[tuple[str, str], dict[str, ConnectionPool]] = {}
        self.connections_opened = 0
        self.held_back = 0

    async def send(
        self,
        request: ClientRequest,
        server: ServerRecord,
        deadline_s: float,
        on_sending: Callable[[], None] = lambda: None,
    ) -> ServerResponse:
        """Send `request`, and wait for the response until the clock reads `deadline_s`.

        :param on_sending: called right before the first byte is sent.
        """
        pool = self._pool(server)
        connection = pool.acquire(request.request_id, deadline_s)
        if connection is None:
            connection = pool.create(request.request_id, deadline_s)
            self.connections_opened += 1
            left_s = deadline_s - self._clock.now()
            if left_s <= 0 or not await connection.connect(min(left_s, CONNECT_TIMEOUT_S)):
                detail = CONNECTION_REFUSED if connection.was_refused else "connect"
                return ServerResponse(ExchangeResult.NOT_SENT, detail=detail)
        # This is the last check before sending: the server may have asked for a rest in another
        # response since it was selected.
        if self.is_held_back(server.server_id):
            connection.abort()
            self.held_back += 1
            return ServerResponse(ExchangeResult.HELD_BACK, detail="held_back")
        on_sending()
        response = await self._exchange(connection, request, server, deadline_s)
        if response is None:
            return ServerResponse(ExchangeResult.SILENT, detail="deadline")
        if response.result is ExchangeResult.ANSWERED:
            pool.release(connection, response.keep_alive_s)
        return response

    def forget(self, server_id: str) -> None:
        """Close the idle connections to a server that has left."""
        pool = self._pools.pop(server_id, None)
        for pools in self._pools_by_zone.values():
            pools.pop(server_id, None)
        if pool is not None:
            pool.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        for pool in self._pools.values():
            pool.close_expired()

    def known_servers(self) -> list[str]:
        """Return the ids of the servers that have a connection pool."""
        return list(self._pools)

    def connected_servers(self, service: str, zone: str) -> tuple[int, ...]:
        """Return the servers to prefer for their idle connections; see `ConnectedServers`."""
        pools = self._pools_by_zone.get((service, zone))
        return () if pools is None else oldest_connected(pools)

    async def _exchange(
        self,
        connection: ServerConnection,
        request: ClientRequest,
        server: ServerRecord,
        deadline_s: float,
    ) -> ServerResponse | None:
        """Return the result of the exchange; None if the deadline passed."""
        left_s = deadline_s - self._clock.now()
        headers = self._headers(request, server, left_s)
        try:
            async with asyncio.timeout(max(left_s, 0.0) + ANSWER_MARGIN_S):
                response = await connection.exchange(
                    request.method, request.target, headers, request.body, request.request_id
                )
        except TimeoutError:
            return None
        if response is None:
            detail = BROKEN if connection.exceeded is None else EXCEEDED
            return ServerResponse(ExchangeResult.LOST, detail=detail, exceeded=connection.exceeded)
        return self._server_answer(response)

    def _server_answer(self, response: ResponseCollector) -> ServerResponse:
        is_not_run = self._names.not_run in response.headers or response.status == MISDIRECTED
        return ServerResponse(
            ExchangeResult.ANSWERED,
            response.status,
            end_to_end_headers(response.headers),
            response.body,
            is_not_run,
            response.headers.get(self._names.answering_server_id),
            response.keep_alive_s,
            server_load=self._server_load(response),
            is_signed=bool(response.headers.get(self._names.signature)),
            share=response.share,
        )

    def _take_head(self, server_id: str, status: int, headers: HTTPHeaders) -> None:
        notice = self._read_notice(status, headers)
        if notice is NOTHING_ASKED and not self.is_limit_known(server_id):
            return
        # Another server may use the address of a server that has left.
        server_id = headers.get(self._names.answering_server_id) or server_id
        if notice is not NOTHING_ASKED:
            self.on_notice(server_id, notice)
        is_run = self._names.not_run not in headers and status != MISDIRECTED
        if is_run and notice.limit_per_s is None and not notice.unreadable:
            self.on_no_limit(server_id)

    def _server_load(self, response: ResponseCollector) -> SelfReportedLoad | None:
        text = response.headers.get(self._names.load)
        return None if text is None else self._read_server_load(text)

    def _headers(self, request: ClientRequest, server: ServerRecord, left_s: float) -> HTTPHeaders:
        headers = HTTPHeaders()
        for name, value in request.headers:
            if name in headers:
                headers.add(name, value)
            else:
                headers[name] = value
        headers[self._names.request_id] = request.request_id
        headers[self._names.deadline_ms] = str(max(1, int(left_s * MS_PER_S)))
        headers[self._names.server_id] = server.server_id
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def _pool(self, server: ServerRecord) -> ConnectionPool:
        pool = self._pools.get(server.server_id)
        if pool is None:
            pool = ConnectionPool(
                server.address,
                self._names.request_id,
                self._clock,
                self._open_connection,
                partial(self._take_head, server.server_id),
            )
            self._pools[server.server_id] = pool
            pools = self._pools_by_zone.setdefault((server.service, server.zone), {})
            pools[server.server_id] = pool
        return pool
