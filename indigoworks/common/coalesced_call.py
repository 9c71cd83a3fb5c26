"""One call for many wishes."""

import asyncio
from collections.abc import Callable


class CoalescedCall:
    """Makes a call once, in the next turn of the event loop, however often it is asked for.

    :param call: what to call.
    """

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._is_asked = False

    def schedule(self) -> None:
        """Have the call made soon."""
        if self._is_asked:
            return
        self._is_asked = True
        asyncio.get_running_loop().call_soon(self._make)

    def _make(self) -> None:
        self._is_asked = False
        self._call()
