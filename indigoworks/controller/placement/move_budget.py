"""A limit on how many ranges of a service may move."""

SECONDS_PER_MINUTE = 60.0


class MoveBudget:
    """Token bucket: at most `moves_per_minute` moves a minute, a tenth of that at once."""

    def __init__(self, moves_per_minute: float, now_s: float) -> None:
        """Begin full.

        :param now_s: reading of the clock that later calls also use.
        """
        self._rate = moves_per_minute / SECONDS_PER_MINUTE
        self._capacity = max(1.0, moves_per_minute / 10)
        self._available = self._capacity
        self._filled_at_s = now_s

    def try_consume(self, now_s: float) -> bool:
        """Take one move, if one is available."""
        elapsed = now_s - self._filled_at_s
        self._available = min(self._capacity, self._available + elapsed * self._rate)
        self._filled_at_s = now_s
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
