"""Whether a process has been asked to stop."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopState:
    """Records the first stop signal; a stop request is never withdrawn."""

    def __init__(self) -> None:
        self._stop_requested = asyncio.Event()

    @property
    def is_stopping(self) -> bool:
        """Return whether the process has been asked to stop."""
        return self._stop_requested.is_set()

    def listen(self) -> None:
        """Install handlers for the stop signals; needs a running event loop."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.request_stop)

    def request_stop(self) -> None:
        """Request that the process stop."""
        self._stop_requested.set()

    async def wait(self) -> None:
        """Wait until the process has been asked to stop."""
        await self._stop_requested.wait()
