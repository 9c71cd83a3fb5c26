"""HTTP server for callers."""

import socket
from collections.abc import Awaitable, Callable
from weakref import WeakKeyDictionary

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.common.in_progress_counter import InProgressCounter
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.configuration_refusals import ConfigurationRefusals
from indigoworks.gateway.front_exchange import FrontExchange
from indigoworks.gateway.header_names import HeaderNames
from indigoworks.routes.caller_limits import CallerLimits

BACKLOG = 1024

HEADER_READ_BYTES = 256 * 1024
"""Header size that is read whatever the limit in force: the limit is checked once the header has
been read, since a newer configuration may allow it."""

CLOSE_PERIOD_S = 0.02
"""Period in which idle connections are closed while the process stops."""

Handler = Callable[[ClientRequest], Awaitable[ClientResponse]]


class FrontServer(HTTPServerConnectionDelegate):
    """Passes complete requests to `handler`, and cancels it if the caller disconnects."""

    def __init__(
        self,
        address: Address,
        names: HeaderNames,
        handler: Handler,
        refusals: ConfigurationRefusals,
        clock: Clock,
    ) -> None:
        self._address = address
        self._names = names
        self._handler = handler
        self._clock = clock
        self._refusals = refusals
        self._server = HTTPServer(self, max_header_size=HEADER_READ_BYTES)
        self._listeners: list[socket.socket] = []
        self._exchanges: WeakKeyDictionary[object, FrontExchange] = WeakKeyDictionary()
        self.in_progress = InProgressCounter()
        self.is_stopping = False
        self.limits = CallerLimits()

    def start(self) -> None:
        """Listen.

        :raises OSError: the address cannot be bound.
        """
        self._listeners = bind_sockets(
            self._address.port, self._address.host, family=socket.AF_INET, backlog=BACKLOG
        )
        self._server.add_sockets(self._listeners)

    def set_limits(self, limits: CallerLimits) -> None:
        """Put limits in force."""
        self.limits = limits
        # An idle connection keeps the limit that the library read when it became idle.
        self._server.conn_params.max_header_size = max(HEADER_READ_BYTES, limits.max_header_bytes)

    def are_limits_outdated(self) -> bool:
        """Return whether a newer configuration may allow what the limits in force do not."""
        return self._refusals.is_outdated()

    def close_idle(self) -> None:
        """Close connections that exceed the idle or the header time-out.

        The HTTP library's own time-out could close a connection whose request has just been read.
        """
        if self.are_limits_outdated():
            return
        for exchange in list(self._exchanges.values()):
            exchange.close_if_timed_out()

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> FrontExchange:
        """Return the delegate that reads a request; called by the HTTP library."""
        exchange = FrontExchange(self, request_conn, self._names, self._clock)
        self._exchanges[server_conn] = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the exchange detects the close itself."""

    async def respond(self, request: ClientRequest) -> ClientResponse:
        """Return the handler's response to one request."""
        return await self._handler(request)

    def header_too_large(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request whose header exceeds the limits."""
        return self._refusals.header_too_large(request)

    def retry_later(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request whose body exceeds outdated limits; the caller may retry."""
        return self._refusals.retry_later(request)

    def no_memory(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request for whose body the process has no room."""
        return self._refusals.no_memory(request)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        self._server.stop()

    async def finish(self, timeout_s: float) -> None:
        """Close connections as they become idle; wait at most `timeout_s` seconds for the others.

        A connection on which any part of a request has arrived is never closed before its response.
        """
        until_s = self._clock.now() + timeout_s
        while self._clock.now() < until_s:
            open_exchanges = [each for each in self._exchanges.values() if not each.is_closed]
            if not open_exchanges and self.in_progress.count == 0:
                return
            for exchange in open_exchanges:
                exchange.close_if_idle()
            await self._clock.sleep(CLOSE_PERIOD_S)
