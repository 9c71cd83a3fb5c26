"""Version of a row or of the whole store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """Era and counter; versions of a later era are newer, whatever their counters.

    A store that was restored from a copy reuses counters, so only the pair is unique.

    :ivar era: how often the store was restored from a copy.
    :ivar counter: increases with each transaction of an era.
    """

    era: int
    counter: int

    def __str__(self) -> str:
        return f"{self.era}:{self.counter}"


NO_VERSION = StoreVersion(0, 0)
"""Older than every version that a store assigns."""
