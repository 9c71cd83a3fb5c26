"""Whether a process has been asked to stop."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopState:
    """Becomes stopping at the first stop signal, and stays so."""

    def __init__(self) -> None:
        self._asked = asyncio.Event()

    @property
    def is_stopping(self) -> bool:
        """Tell whether the process has been asked to stop."""
        return self._asked.is_set()

    def listen(self) -> None:
        """Take the stop signals of this process; needs its running event loop."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.ask)

    def ask(self) -> None:
        """Ask the process to stop."""
        self._asked.set()

    async def wait(self) -> None:
        """Wait until the process has been asked to stop."""
        await self._asked.wait()
