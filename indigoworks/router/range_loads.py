"""Measured load of the ranges that a router dispatches to."""

import math

from indigoworks.common.clock import Clock
from indigoworks.wire.control_pb2 import RangeLoad

AVERAGE_S = 2.0
"""Time constant of the moving average: shorter tracks a moving hot key, longer is less noisy."""

REPORT_INTERVAL_S = 0.5
"""Interval between reports to the controllers."""

MIN_BUSY_SLOTS = 0.001
"""Load below which a range is not reported."""

RangeStart = tuple[str, int]
"""Service and first ring position of a range."""


class RangeLoads:
    """Moving average of the slots held by the requests of each range.

    The back ends' own load reports are not used: they lag behind and can be wrong.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._busy_s: dict[RangeStart, float] = {}
        self._decayed_at_s = clock.now()
        self._reported_at_s = float("-inf")

    def add(self, service: str, range_start: int, busy_s: float) -> None:
        """Add the time for which a request held a slot."""
        index = (service, range_start)
        self._busy_s[index] = self._busy_s.get(index, 0.0) + busy_s

    def report(self) -> list[RangeLoad]:
        """Return the loads if a report is due, else an empty list."""
        now_s = self._clock.now()
        if now_s - self._reported_at_s < REPORT_INTERVAL_S:
            return []
        self._reported_at_s = now_s
        self._decay(now_s)
        return [
            RangeLoad(service=service, start=start, busy_slots=busy_s / AVERAGE_S)
            for (service, start), busy_s in self._busy_s.items()
        ]

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._decayed_at_s - now_s) / AVERAGE_S)
        self._decayed_at_s = now_s
        least_s = MIN_BUSY_SLOTS * AVERAGE_S
        decayed = {index: busy_s * factor for index, busy_s in self._busy_s.items()}
        self._busy_s = {index: busy_s for index, busy_s in decayed.items() if busy_s >= least_s}
