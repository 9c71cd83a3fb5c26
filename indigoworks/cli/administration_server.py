"""HTTP server of a process that serves administration only."""

from collections.abc import Sequence
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

from indigoworks.admin.http_handlers import HandlerRule
from indigoworks.cli.process_component import ProcessComponent
from indigoworks.common.address import Address

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Largest body of an administration request."""


class AdministrationServer:
    """Serves administration, metrics and health of a component."""

    def __init__(
        self, component: ProcessComponent, address: Address, rules: Sequence[HandlerRule]
    ) -> None:
        self._component = component
        self._address = address
        handlers: list[Any] = list(rules)
        self._server = HTTPServer(Application(handlers), max_body_size=MAX_BODY_BYTES)

    def start(self) -> None:
        """Start listening.

        :raises OSError: the address cannot be bound.
        """
        self._server.listen(self._address.port, self._address.host)

    async def stop(self) -> None:
        """Stop the component, then close; after a stop signal, health reports the stop."""
        await self._component.stop()
        self._server.stop()
        await self._server.close_all_connections()
