"""Coalesces several requests for a call into one call."""

import asyncio
from collections.abc import Callable


class CoalescedCall:
    """Makes a call once, however often it is scheduled meanwhile.

    :param call: what to call.
    :param delay_s: seconds from the first schedule to the call; 0: the next iteration of the loop.
    """

    def __init__(self, call: Callable[[], None], delay_s: float = 0.0) -> None:
        self._call = call
        self._delay_s = delay_s
        self._is_scheduled = False

    def schedule(self) -> None:
        """Schedule the call; no effect if it is already scheduled."""
        if self._is_scheduled:
            return
        self._is_scheduled = True
        loop = asyncio.get_running_loop()
        if self._delay_s > 0:
            loop.call_later(self._delay_s, self._run)
        else:
            loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        self._call()
