"""Moves the limit of one exchange on while its answer comes."""

import asyncio
import math

from indigoworks.backend.transfer_limits import TransferLimits
from indigoworks.common.clock import Clock


class TransferDeadline:
    """Told of each part of an answer as soon as it is read.

    The HTTP library hands over what has come as soon as it would have to wait for more, so that
    the size of its chunks (64 KiB at most) does not hide progress on a slow link.

    :param limit: ends the exchange; as it was made it stands until the headers have come.
    :param limits: what follows it; None: the limit stays as it was made.
    """

    def __init__(self, clock: Clock, limit: asyncio.Timeout, limits: TransferLimits | None) -> None:
        self._clock = clock
        self._limit = limit
        self._limits = limits
        self._latest_s = math.inf
        self.headers_s = math.nan
        """Reading of the clock when status and headers had come; not a number before."""

    def headers_received(self) -> None:
        """Take note of status and headers of the answer."""
        self.headers_s = self._clock.now()
        if self._limits is not None:
            self._latest_s = asyncio.get_running_loop().time() + self._limits.total_timeout_s
            self._wait_on(self._limits)

    def chunk_received(self) -> None:
        """Take note of a piece of the body."""
        if self._limits is not None:
            self._wait_on(self._limits)

    def _wait_on(self, limits: TransferLimits) -> None:
        silent_s = asyncio.get_running_loop().time() + limits.idle_timeout_s
        self._limit.reschedule(min(silent_s, self._latest_s))
