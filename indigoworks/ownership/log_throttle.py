"""Limits the rate of a log line."""

from indigoworks.common.clock import Clock

LINE_PERIOD_S = 5.0
"""Shortest time between two lines; events in between are counted."""


class LogThrottle:
    """Decides when a log line is due: at the first event, then at most once a period."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged_s = float("-inf")
        self._count = 0

    def count_event(self) -> int | None:
        """Count an event; returns the count for a line that is due, or None: none is due."""
        self._count += 1
        if self._clock.now() - self._logged_s < LINE_PERIOD_S:
            return None
        self._logged_s = self._clock.now()
        count, self._count = self._count, 0
        return count
