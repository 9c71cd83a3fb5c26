"""The stand-in of the platform as a process."""

import asyncio
import signal
from random import Random

from tornado.httpserver import HTTPServer

from indigoworks_lab.platform.platform_application import platform_application
from indigoworks_lab.platform.platform_state import PlatformState

MAX_BODY_BYTES = 64 * 1024 * 1024


async def run_platform(host: str, port: int, seed: int) -> None:
    """Serve the platform on `host`:`port` until SIGTERM or SIGINT.

    :param seed: seed of the choice of the answers to lose.
    """
    loop = asyncio.get_running_loop()
    stop_asked = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_asked.set)
    state = PlatformState(Random(seed), loop.time())
    server = HTTPServer(platform_application(state), max_body_size=MAX_BODY_BYTES)
    server.listen(port, address=host)
    await stop_asked.wait()
    server.stop()
    await server.close_all_connections()
