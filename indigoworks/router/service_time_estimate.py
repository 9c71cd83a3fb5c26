"""Estimate of a back end's service time."""

from indigoworks.common.clock import Clock

INITIAL_SERVICE_S = 0.02
"""Service time assumed until the first request was measured."""

SMOOTHING = 0.1
"""Weight of the newest measurement in the moving average."""


class ServiceTimeEstimate:
    """Moving average of the time a request takes at a back end, measured by its dispatcher.

    The back end's own load reports are not used: they lag behind and can be wrong.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._average_s = INITIAL_SERVICE_S
        self._is_measured = False
        self._started: dict[int, float] = {}
        self._next_id = 0

    def start(self) -> int:
        """Start measuring a request; returns the id to pass to `finish`."""
        self._next_id += 1
        self._started[self._next_id] = self._clock.now()
        return self._next_id

    def finish(self, measurement: int, is_served: bool) -> float:
        """End a measurement.

        :param is_served: whether the back end may have run the request; a refusal is not counted.
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
        """Return the current estimate, in seconds.

        A back end that has stopped answering yields no new measurements: the age of the youngest
        request in progress is then a lower bound.
        """
        if not self._started:
            return self._average_s
        youngest_age_s = self._clock.now() - max(self._started.values())
        return max(self._average_s, youngest_age_s)
