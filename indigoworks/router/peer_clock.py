"""Estimate of another process's clock."""

from indigoworks.common.lease_bounds import MAX_CLOCK_DRIFT


class PeerClock:
    """Lower bound of the difference between a peer's clock and the local clock.

    The peer took a reading before it arrived here, so its clock shows at least that value on
    arrival. A deadline converted with this bound may be early, by the latency of the fastest
    recent reply, but never late: however long a message is delayed on the network or in a frozen
    process, it is not acted upon after its deadline.
    """

    def __init__(self) -> None:
        self._difference_s: float | None = None
        self._recorded_at_s = 0.0

    def record_reading(self, reading_s: float, now_s: float) -> None:
        """Update the bound with a reading of the peer's clock that arrived at `now_s`."""
        difference_s = reading_s - now_s
        known_s = self._bound_s(now_s)
        if known_s is None or difference_s > known_s:
            self._difference_s = difference_s
            self._recorded_at_s = now_s

    def deadline(self, deadline_s: float, now_s: float) -> float | None:
        """Convert a local deadline to the peer's clock; None if no reading was received."""
        bound_s = self._bound_s(now_s)
        if bound_s is None:
            return None
        remaining_s = (deadline_s - now_s) * (1 - 2 * MAX_CLOCK_DRIFT)
        return now_s + bound_s + remaining_s

    def _bound_s(self, now_s: float) -> float | None:
        if self._difference_s is None:
            return None
        # Since the reading each of the two clocks may have drifted by MAX_CLOCK_DRIFT.
        return self._difference_s - 2 * MAX_CLOCK_DRIFT * (now_s - self._recorded_at_s)
