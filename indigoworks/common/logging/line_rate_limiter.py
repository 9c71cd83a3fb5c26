"""How many lines of each type a process writes in a second."""

from collections.abc import Mapping

from indigoworks.common.clock import Clock

SUCCESS_LINES_PER_S = 200
"""Lines of one type below WARNING that a process writes in a second; the rest is counted."""

FAILURE_LINES_PER_S = 500
"""Lines of one type from WARNING on that a process writes in a second; the rest is counted."""

CONTROL_PREFIXES = (
    "process:",
    "leader:",
    "ownership:",
    "range:",
    "order:",
    "hold:",
    "server:",
    "reach:",
    "store:",
    "feed:",
    "configuration:",
    "peer:",
    "relay:",
    "hub:",
    "broker:acting",
    "zone:",
    "quarantine:begun",
    "quarantine:lifted",
    "quarantine:forgotten",
    "log:",
)
"""Types without a bound: they tell of changes, of which there are few, never of single requests."""

SECOND_S = 1.0


class LineRateLimiter:
    """Counts lines by type, and what was dropped of them.

    A second ends when `end_second` is called after it, so that no line costs a reading of the
    clock; where that comes late, the second is longer and the bound lower.

    :ivar dropped: lines dropped so far, by type.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._successes: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._untold: dict[str, int] = {}
        self._second_began_s: float | None = None
        self.dropped: dict[str, int] = {}

    def has_room(self, message_type: str, is_failure: bool) -> bool:
        """Tell whether one more line of a type would be taken; ask before building it."""
        if is_failure:
            is_free = self._failures.get(message_type, 0) < FAILURE_LINES_PER_S
        else:
            is_free = self._successes.get(message_type, 0) < SUCCESS_LINES_PER_S
        return is_free or is_control(message_type)

    def admit(self, message_type: str, is_failure: bool) -> bool:
        """Count a line that is to be written; False where it is dropped."""
        if not self.has_room(message_type, is_failure):
            self.record_dropped(message_type)
            return False
        counts = self._failures if is_failure else self._successes
        counts[message_type] = counts.get(message_type, 0) + 1
        return True

    def record_dropped(self, message_type: str) -> None:
        """Count a line that is not written."""
        self._untold[message_type] = self._untold.get(message_type, 0) + 1
        self.dropped[message_type] = self.dropped.get(message_type, 0) + 1

    def end_second(self) -> bool:
        """Begin a new second if the last one is over; tells whether it was."""
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
        untold = self._untold
        self._untold = {}
        return untold


def is_control(message_type: str) -> bool:
    """Tell whether lines of a type are never dropped for their number."""
    return message_type.startswith(CONTROL_PREFIXES)
