"""Which keys callers ask for."""

from random import Random

from indigoworks.ownership.ownership_table import KEY_COUNT

HOT_PART = 0.7
HOT_WIDTH = 1500
"""Busy keys lie near each other; which ones are busy changes."""


class HotKeys:
    """Most keys come from a narrow range; `move` chooses another one."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.move()

    def move(self) -> None:
        """Make other keys busy."""
        self._first = self._random.randrange(KEY_COUNT - HOT_WIDTH)

    def draw(self) -> int:
        """Return a key."""
        if self._random.random() < HOT_PART:
            # The lowest of them are the busiest.
            return self._first + int(HOT_WIDTH * self._random.random() ** 2)
        return self._random.randrange(KEY_COUNT)
