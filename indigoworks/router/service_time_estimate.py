"""Measured speed of a back end."""

from indigoworks.common.clock import Clock

INITIAL_SERVICE_S = 0.02
"""Assumed time of one request until the first one was measured."""

SMOOTHING = 0.1
"""Weight of the newest measurement in the moving average."""


class ServiceTimeEstimate:
    """Time that one request takes at a back end, from what the dispatcher measures.

    The back end's own load reports lag and mislead, so they are not used.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._average_s = INITIAL_SERVICE_S
        self._is_measured = False
        self._started: dict[int, float] = {}
        self._next_id = 0

    def start(self) -> int:
        """Note that a request was sent; returns the id to finish it by."""
        self._next_id += 1
        self._started[self._next_id] = self._clock.now()
        return self._next_id

    def finish(self, measurement: int, is_served: bool) -> float:
        """Note that a request ended.

        :param is_served: the back end answered; a refusal says nothing of its speed.
        :returns: seconds since the start.
        """
        elapsed_s = self._clock.now() - self._started.pop(measurement)
        if not is_served:
            return elapsed_s
        if not self._is_measured:
            self._average_s = elapsed_s
            self._is_measured = True
        else:
            self._average_s += SMOOTHING * (elapsed_s - self._average_s)
        return elapsed_s

    def service_s(self) -> float:
        """Return the seconds that one request takes now.

        A back end that has stopped answering has no new measurements: the age of the youngest
        request in progress then says that each takes at least so long.
        """
        if not self._started:
            return self._average_s
        youngest_age_s = self._clock.now() - max(self._started.values())
        return max(self._average_s, youngest_age_s)
