"""The relay as a process of its own."""

import asyncio
import signal
from collections.abc import Sequence

from tornado.httpserver import HTTPServer
from tornado.web import Application

from indigoworks_lab.link_relay.flow_table import FlowTable
from indigoworks_lab.link_relay.link_relay import LinkRelay
from indigoworks_lab.link_relay.links_handler import LinksHandler
from indigoworks_lab.link_relay.relay_destination import RelayDestination


async def run_relay(host: str, port: int, destinations: Sequence[RelayDestination]) -> None:
    """Relay to `destinations`, steered at `host`:`port`, until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop_asked = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_asked.set)
    flows = FlowTable()
    await LinkRelay(destinations, flows).start()
    # Steered last: where it answers, all destinations are listened for.
    rules = [(r"/lab/links/?([^/]*)", LinksHandler, {"flows": flows})]
    steering = HTTPServer(Application(rules, log_function=lambda handler: None))
    steering.listen(port, address=host)
    await stop_asked.wait()
