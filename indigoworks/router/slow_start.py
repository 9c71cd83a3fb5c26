"""Slow start: limits the concurrency of a back end that has just appeared."""

RAMP_S = 3.0
"""Seconds from a server's first appearance until all its slots are used."""


class SlowStart:
    """Raises the concurrency limit of a server process linearly from 1 to its slots."""

    def __init__(self, first_seen_s: float) -> None:
        self._first_seen_s = first_seen_s

    def limit(self, now_s: float, slots: int) -> int:
        """Return how many requests the server may run concurrently at `now_s`."""
        share = (now_s - self._first_seen_s) / RAMP_S
        if share >= 1.0:
            return slots
        return 1 + int((slots - 1) * max(0.0, share))

    def is_ramping(self, now_s: float) -> bool:
        """Tell whether the limit is still rising."""
        return now_s - self._first_seen_s < RAMP_S
