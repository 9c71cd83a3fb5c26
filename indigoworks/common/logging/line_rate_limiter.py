"""Limits the number of log lines of each type that a process writes in a second."""

from collections.abc import Mapping

from indigoworks.common.clock import Clock

SUCCESS_LINES_PER_S = 200
"""Most lines of one type below WARNING in a second; the rest are dropped and counted."""

FAILURE_LINES_PER_S = 500
"""Most lines of one type from WARNING up in a second; the rest are dropped and counted."""

CONTROL_PREFIXES = (
    "process:",
    "leader:",
    "ownership:",
    "range:",
    "order:",
    "hold:",
    "server:",
    "reach:",
    "path:",
    "outlier:",
    "store:",
    "feed:",
    "configuration:",
    "peer:",
    "relay:",
    "hub:",
    "broker:acting",
    "dispatcher:",
    "zone:",
    "quarantine:begun",
    "quarantine:lifted",
    "quarantine:forgotten",
    "log:",
)
"""Types without a limit: they report changes of state, which are few, never single requests."""

SECOND_S = 1.0


class LineRateLimiter:
    """Limits lines by type in each second, and counts the dropped ones.

    A second ends at the first call of `end_second` after it, so that no line costs a reading of the
    clock; if the call is late, the second is longer and the rate lower.

    :ivar dropped: lines dropped so far, by type.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._successes: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._unreported: dict[str, int] = {}
        self._second_began_s: float | None = None
        self.dropped: dict[str, int] = {}

    def has_room(self, message_type: str, is_failure: bool) -> bool:
        """Tell whether one more line of a type would be written; callers ask before building it."""
        if is_failure:
            is_below_limit = self._failures.get(message_type, 0) < FAILURE_LINES_PER_S
        else:
            is_below_limit = self._successes.get(message_type, 0) < SUCCESS_LINES_PER_S
        return is_below_limit or is_control(message_type)

    def admit(self, message_type: str, is_failure: bool) -> bool:
        """Count a line and return whether it may be written; False: it counts as dropped."""
        if not self.has_room(message_type, is_failure):
            self.record_dropped(message_type)
            return False
        counts = self._failures if is_failure else self._successes
        counts[message_type] = counts.get(message_type, 0) + 1
        return True

    def record_dropped(self, message_type: str) -> None:
        """Count a dropped line."""
        self._unreported[message_type] = self._unreported.get(message_type, 0) + 1
        self.dropped[message_type] = self.dropped.get(message_type, 0) + 1

    def end_second(self) -> bool:
        """Begin a new second if the current one is over, and tell whether it was."""
        now_s = self._clock.now()
        if self._second_began_s is None:
            self._second_began_s = now_s
        if now_s - self._second_began_s < SECOND_S:
            return False
        self._second_began_s = now_s
        self._successes.clear()
        self._failures.clear()
        return True

    def pop_unreported(self) -> Mapping[str, int]:
        """Return what was dropped since the last call, by type."""
        unreported = self._unreported
        self._unreported = {}
        return unreported


def is_control(message_type: str) -> bool:
    """Tell whether a type has no limit of lines in a second."""
    return message_type.startswith(CONTROL_PREFIXES)
