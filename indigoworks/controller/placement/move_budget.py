"""Rate limit for moves of ranges between servers."""

SECONDS_PER_MINUTE = 60.0


class MoveBudget:
    """Token bucket: `moves_per_minute` on average, a tenth of that (at least one) in a burst."""

    def __init__(self, moves_per_minute: float, now_s: float) -> None:
        """Create a full bucket.

        :param now_s: reading of the clock that is passed to later calls.
        """
        self._rate = moves_per_minute / SECONDS_PER_MINUTE
        self._capacity = max(1.0, moves_per_minute / 10)
        self._available = self._capacity
        self._refilled_at_s = now_s

    def try_consume(self, now_s: float) -> bool:
        """Consume one move if available; return whether it was."""
        elapsed_s = now_s - self._refilled_at_s
        self._available = min(self._capacity, self._available + elapsed_s * self._rate)
        self._refilled_at_s = now_s
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
