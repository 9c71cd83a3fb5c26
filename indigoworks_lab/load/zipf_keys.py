"""Keys drawn with a Zipf distribution."""

from bisect import bisect_left
from itertools import accumulate
from random import Random


class ZipfKeys:
    """Draws key numbers from 0 to count - 1; number n has weight 1 / (n + 1) ** exponent."""

    def __init__(self, count: int, exponent: float, random: Random) -> None:
        self._random = random
        weights = (1.0 / (number + 1) ** exponent for number in range(count))
        self._cumulative = list(accumulate(weights))

    def draw(self) -> int:
        """Return the number of the next key."""
        return bisect_left(self._cumulative, self._random.random() * self._cumulative[-1])
