"""A line of the log that may come too often."""

from indigoworks.common.clock import Clock

LINE_PERIOD_S = 5.0
"""Time between two lines at least; what came meanwhile is counted."""


class LogThrottle:
    """Tells when a line is due: at once the first time, then at most once in a period."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told_s = float("-inf")
        self._count = 0

    def count_event(self) -> int | None:
        """Count an event; returns how many the line stands for, or None: it is not due."""
        self._count += 1
        if self._clock.now() - self._told_s < LINE_PERIOD_S:
            return None
        self._told_s = self._clock.now()
        count, self._count = self._count, 0
        return count
