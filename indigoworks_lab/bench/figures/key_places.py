"""The keys of a service, by their places."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from indigoworks.common.ring.key_hash import key_hash


class KeyPlaces:
    """Sorted places of keys, to count keys in ranges.

    :ivar places: places in ascending order.
    """

    def __init__(self, keys: Iterable[bytes]) -> None:
        self.places = sorted(key_hash(key) for key in keys)

    def __len__(self) -> int:
        return len(self.places)

    def count_in(self, start: int, end: int) -> int:
        """Return the number of keys from place `start` to place `end`, both included."""
        return bisect_right(self.places, end) - bisect_left(self.places, start)
