"""Signal handlers of a gateway process."""

import asyncio
import signal
from collections.abc import Callable


def install_signal_handlers(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Make SIGTERM and SIGINT stop the process, and SIGHUP reload its settings.

    The program blocks SIGHUP during startup, since the default action would end the process. A
    SIGHUP that arrived meanwhile is delivered now.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
