"""How many servers of a service may be ejected."""

from dataclasses import dataclass

from indigoworks.common.clock import Clock

MAX_EJECTED_SHARE = 1 / 3
"""Largest share of a service that is ejected; one server of two may be, and none of one."""

WHOLE_SHARE = 2 / 3
"""A service of which more than this share fails is left alone: what fails is behind all of them, or
on the way to them, and fewer servers would only be overloaded as well."""

WHOLE_PAUSE_S = 1.0
"""Time without ejections after a service was found to fail as a whole."""


@dataclass(frozen=True, slots=True)
class BoundDecision:
    """Whether one more server may be ejected.

    :ivar is_whole: the service fails as a whole; those that are ejected have to come back.
    :ivar is_told: this is to be logged: the last refusal for the service is a while ago.
    """

    may_eject: bool
    is_whole: bool = False
    is_told: bool = False


class ServiceBounds:
    """Bounds the ejections of each service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._whole_until_s: dict[str, float] = {}
        self._told_s: dict[str, float] = {}

    def decide(self, service: str, servers: int, failing: int, ejected: int) -> BoundDecision:
        """Decide whether one more server may be ejected.

        :param failing: servers that are ejected or fail, the one in question included.
        """
        now_s = self._clock.now()
        if failing > servers * WHOLE_SHARE:
            self._whole_until_s[service] = now_s + WHOLE_PAUSE_S
            return BoundDecision(False, is_whole=True, is_told=self._is_told(service, now_s))
        is_in_pause = now_s < self._whole_until_s.get(service, float("-inf"))
        if is_in_pause or ejected >= max_ejected(servers):
            return BoundDecision(False, is_told=self._is_told(service, now_s))
        return BoundDecision(True)

    def _is_told(self, service: str, now_s: float) -> bool:
        is_due = now_s - self._told_s.get(service, float("-inf")) >= WHOLE_PAUSE_S
        if is_due:
            self._told_s[service] = now_s
        return is_due


def max_ejected(servers: int) -> int:
    """Return how many of so many servers may be ejected at a time."""
    if servers < 2:
        return 0
    return max(1, int(servers * MAX_EJECTED_SHARE))
