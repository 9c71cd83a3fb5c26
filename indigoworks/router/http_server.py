"""HTTP server of a router: callers' requests, administration, metrics and health."""

import asyncio
from collections.abc import Sequence
from typing import Any

from eliot import log_message
from tornado.httpserver import HTTPServer
from tornado.web import Application

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.common.http_listener import HttpListener
from indigoworks.common.in_progress_counter import InProgressCounter
from indigoworks.router.limits import MAX_BODY_BYTES
from indigoworks.router.router import Router
from indigoworks.router.service_handler import CallerContext, ServiceHandler

WRITE_TIMEOUT_S = 5.0
"""Timeout for writing the remaining responses after the router has stopped."""

CLOSE_LINGER_S = 0.2
"""Time for which open connections are still served after the port is closed: requests on them are
refused with a response, so that their callers know that they did not run."""

HttpRule = tuple[str, type[Any], dict[str, Any]]


class RouterHttpServer:
    """Serves callers under /v1/, and the given additional rules."""

    def __init__(self, router: Router, address: Address, other_rules: Sequence[HttpRule]) -> None:
        self._router = router
        self._handling = InProgressCounter()
        context = CallerContext(router, self._handling)
        rules: list[Any] = [(r"/v1(?:/.*)?", ServiceHandler, {"context": context})]
        rules.extend(other_rules)
        self._server = HTTPServer(Application(rules), max_body_size=MAX_BODY_BYTES)
        self._listener = HttpListener(self._server, address)

    def start(self) -> None:
        """Start listening.

        :raises OSError: the address cannot be bound.
        """
        self._listener.start()

    async def stop(self) -> None:
        """Stop the router, finish writing its responses, and close all connections.

        While the router stops, new requests are refused with a response instead of a closed port,
        so that the caller knows that they did not run.
        """
        await self._router.stop()
        self._listener.stop()
        await LoopClock().sleep(CLOSE_LINGER_S)
        await self._finish_responses()
        await self._server.close_all_connections()

    async def _finish_responses(self) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._handling.wait_until_idle()
        except TimeoutError:
            log_message(
                message_type="http:stop_cut", level="ERROR", in_progress=self._handling.count
            )
