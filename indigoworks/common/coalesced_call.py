"""Coalesces several requests for a call into one call."""

import asyncio
from collections.abc import Callable


class CoalescedCall:
    """Makes a call once in the next iteration of the event loop, however often it is scheduled.

    :param call: what to call.
    """

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._is_scheduled = False

    def schedule(self) -> None:
        """Make the call in the loop's next iteration; no effect if it is already scheduled."""
        if self._is_scheduled:
            return
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        self._call()
