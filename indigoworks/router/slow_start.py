"""Concurrency that a cold back end is given."""

RAMP_S = 3.0
"""Seconds from a server's first appearance to the use of all its slots."""


class SlowStart:
    """Grows the concurrency of one run of a server from 1 to its slots."""

    def __init__(self, first_seen_s: float) -> None:
        self._first_seen_s = first_seen_s

    def limit(self, now_s: float, slots: int) -> int:
        """Return how many requests the server may run at the same time at `now_s`."""
        share = (now_s - self._first_seen_s) / RAMP_S
        if share >= 1.0:
            return slots
        return 1 + int((slots - 1) * max(0.0, share))

    def is_ramping(self, now_s: float) -> bool:
        """Tell whether the limit may still grow."""
        return now_s - self._first_seen_s < RAMP_S
