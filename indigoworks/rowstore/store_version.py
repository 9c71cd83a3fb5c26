"""Version of a row, or of the whole store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """Versions of a later era are newer, whatever their counters.

    A store that comes back from a copy gives counters out again. Only the pair tells rows apart.

    :ivar era: how often the store had come back from a copy.
    :ivar counter: rises with each transaction of an era.
    """

    era: int
    counter: int

    def __str__(self) -> str:
        return f"{self.era}:{self.counter}"


NO_VERSION = StoreVersion(0, 0)
"""Older than every version that a store gives out."""
