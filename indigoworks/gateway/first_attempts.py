"""How long ago callers tried first, by the time that they still wait."""

from dataclasses import dataclass

from indigoworks.common.clock import Clock

WINDOW_S = 10.0
"""The longest wait of a route is that of the last one to two windows."""


@dataclass(slots=True)
class _LongestWait:
    """Longest wait in the window that began at `began_s`, and in the one before it."""

    began_s: float
    newest_s: float
    before_s: float


class FirstAttempts:
    """Callers of a route begin with the same deadline; one that comes back has less of it left.

    An answer counts from a caller's first try: what comes back late for that can only be late.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._longest: dict[str, _LongestWait] = {}

    def age_s(self, route: str, wait_s: float | None) -> float:
        """Return how long ago the caller of a request tried first, in seconds; 0 where its route
        shows nothing else.

        :param route: name of the request's route.
        :param wait_s: seconds that its caller still waits; None: it does not say.
        """
        if wait_s is None:
            return 0.0
        return max(0.0, self._longest_s(route, wait_s) - wait_s)

    def _longest_s(self, route: str, wait_s: float) -> float:
        now_s = self._clock.now()
        known = self._longest.get(route)
        if known is None:
            known = self._longest[route] = _LongestWait(now_s, wait_s, 0.0)
        elif now_s - known.began_s > WINDOW_S:
            known.began_s, known.before_s, known.newest_s = now_s, known.newest_s, 0.0
        known.newest_s = max(known.newest_s, wait_s)
        return max(known.newest_s, known.before_s)
