"""What signals do to a running gateway process."""

import asyncio
import signal
from collections.abc import Callable


def install_signal_handlers(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Let SIGTERM and SIGINT stop the process, and SIGHUP read its settings again.

    The program blocks SIGHUP while it starts: one that has come since then is taken now. Its
    default action would have ended the process.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
