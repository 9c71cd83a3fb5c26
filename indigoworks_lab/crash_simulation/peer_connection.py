"""A connection between two simulated gateways."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from indigoworks.common.address import Address
from indigoworks.forwarding.forward_server import ForwardServer
from indigoworks.gateway.response_collector import ResponseCollector
from indigoworks.gateway.server_connection import ServerConnection

LINK_S = 0.001
OK_STATUS = 200


class PeerConnection(ServerConnection):
    """Does what a `ServerConnection` to a peer's port does, on virtual time and without a socket.

    :param server_at: returns the server for forwarded requests of the gateway at an address; None:
        its process does not run, or is not reached.
    """

    def __init__(
        self, address: Address, server_at: Callable[[Address], ForwardServer | None]
    ) -> None:
        self._address = address
        self._server_at = server_at
        self._server: ForwardServer | None = None

    async def connect(self, timeout_s: float) -> bool:
        """Connect; a gateway without a process refuses."""
        await asyncio.sleep(LINK_S)
        self._server = self._server_at(self._address)
        return self._server is not None

    @property
    def is_reusable(self) -> bool:
        """Return whether the process that was connected to still runs."""
        return self._server is not None and self._server_at(self._address) is self._server

    def watch_while_idle(self) -> None:
        """Watch nothing: `is_reusable` looks at the process."""

    async def exchange(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, request_id: str
    ) -> ResponseCollector | None:
        """Let the peer handle a forwarded request; cancelling the call cancels it there."""
        server = self._server
        assert server is not None
        self.is_request_sent = True
        await asyncio.sleep(LINK_S)
        if not self.is_reusable:
            return None
        reply = await server.respond(body)
        await asyncio.sleep(LINK_S)
        if not self.is_reusable:
            return None
        response = ResponseCollector()
        response.status = OK_STATUS
        response.data_received(reply)
        return response

    def abort(self) -> None:
        """Break the connection off."""
        self._server = None
