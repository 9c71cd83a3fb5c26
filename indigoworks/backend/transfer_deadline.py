"""Extends the timeout of an HTTP exchange while its response arrives."""

import asyncio
import math

from indigoworks.backend.transfer_limits import TransferLimits
from indigoworks.common.clock import Clock


class TransferDeadline:
    """Reschedules a timeout with each part of a response that is read.

    The HTTP library passes received data on as soon as it would have to wait for more, so that the
    size of its chunks (64 KiB at most) does not hide progress on a slow link.

    :param timeout: ends the exchange; unchanged until the headers have arrived.
    :param limits: limits after the headers; None: the timeout stays unchanged.
    """

    def __init__(
        self, clock: Clock, timeout: asyncio.Timeout, limits: TransferLimits | None
    ) -> None:
        self._clock = clock
        self._timeout = timeout
        self._limits = limits
        self._total_until_s = math.inf
        self.headers_s = math.nan
        """Clock reading when status and headers had arrived; NaN before."""

    def headers_received(self) -> None:
        """Record the arrival of status and headers."""
        self.headers_s = self._clock.now()
        if self._limits is not None:
            self._total_until_s = asyncio.get_running_loop().time() + self._limits.total_timeout_s
            self._extend(self._limits)

    def chunk_received(self) -> None:
        """Record the arrival of a chunk of the body."""
        if self._limits is not None:
            self._extend(self._limits)

    def _extend(self, limits: TransferLimits) -> None:
        idle_until_s = asyncio.get_running_loop().time() + limits.idle_timeout_s
        self._timeout.reschedule(min(idle_until_s, self._total_until_s))
