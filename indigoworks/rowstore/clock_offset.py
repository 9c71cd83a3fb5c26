"""Offset between this process's clock and the store's monotonic clock."""

from dataclasses import dataclass

from eliot import log_message

MAX_DRIFT = 0.001
"""Largest drift between the two clocks, as a share of the elapsed time."""


@dataclass(frozen=True, slots=True)
class _Bounds:
    """Least and greatest possible offset in seconds, as of `at_s` on our clock."""

    low_s: float
    high_s: float
    at_s: float

    def at(self, now_s: float) -> "_Bounds":
        drift_s = MAX_DRIFT * max(0.0, now_s - self.at_s)
        return _Bounds(self.low_s - drift_s, self.high_s + drift_s, now_s)


class ClockOffset:
    """Bounds of (our clock - the store's clock); responses narrow them, and drift widens them.

    The store reads its clock between our request and its response. If that contradicts the known
    bounds, one of the clocks has jumped: the store process restarted, another replica responded,
    or a machine was suspended. The known bounds are then discarded.
    """

    def __init__(self) -> None:
        self._bounds: _Bounds | None = None

    def forget(self) -> None:
        """Discard the bounds: the store's clock may now have any reading."""
        self._bounds = None

    def record_reading(self, sent_s: float, received_s: float, store_s: float) -> None:
        """Record a reading of the store's clock.

        :param sent_s: our clock when the request was sent.
        :param received_s: our clock when the response was complete; if the last byte arrives long
            after the store read its clock, the bounds are that wide.
        """
        low_s, high_s = sent_s - store_s, received_s - store_s
        if self._bounds is not None:
            known = self._bounds.at(received_s)
            if low_s <= known.high_s and known.low_s <= high_s:
                low_s, high_s = max(low_s, known.low_s), min(high_s, known.high_s)
            else:
                _log_jump(known, low_s, high_s)
        self._bounds = _Bounds(low_s, high_s, received_s)

    def low_s(self, now_s: float) -> float | None:
        """Return the least possible offset; None: unknown."""
        return None if self._bounds is None else self._bounds.at(now_s).low_s

    def high_s(self, now_s: float) -> float | None:
        """Return the greatest possible offset; None: unknown."""
        return None if self._bounds is None else self._bounds.at(now_s).high_s


def _log_jump(known: _Bounds, low_s: float, high_s: float) -> None:
    log_message(
        message_type="store:clock_jumped",
        level="WARNING",
        by_at_least_s=round(max(low_s - known.high_s, known.low_s - high_s), 3),
    )
