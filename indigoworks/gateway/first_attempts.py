"""Estimates how long ago a caller first sent a request, from its remaining deadline."""

from dataclasses import dataclass

from indigoworks.common.clock import Clock

WINDOW_S = 10.0
"""The longest deadline of a route is taken over the current and the previous window."""


@dataclass(slots=True)
class _LongestWait:
    """Longest deadline in the window that began at `began_s`, and in the one before it."""

    began_s: float
    newest_s: float
    before_s: float


class FirstAttempts:
    """Infers the age of retries, assuming that callers of a route start with the same deadline.

    A caller that retries has less of its deadline left. Latency counts from its first attempt.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._longest: dict[str, _LongestWait] = {}

    def age_s(self, route: str, wait_s: float | None) -> float:
        """Return the estimated seconds since the caller's first attempt; 0 for a first attempt.

        :param route: name of the request's route.
        :param wait_s: seconds that the caller still waits; None if not stated.
        """
        if wait_s is None:
            return 0.0
        return max(0.0, self._longest_wait_s(route, wait_s) - wait_s)

    def _longest_wait_s(self, route: str, wait_s: float) -> float:
        now_s = self._clock.now()
        known = self._longest.get(route)
        if known is None:
            known = self._longest[route] = _LongestWait(now_s, wait_s, 0.0)
        elif now_s - known.began_s > WINDOW_S:
            known.began_s, known.before_s, known.newest_s = now_s, known.newest_s, 0.0
        known.newest_s = max(known.newest_s, wait_s)
        return max(known.newest_s, known.before_s)
