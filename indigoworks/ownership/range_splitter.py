"""Splits ranges into parts by their load."""

from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.owned_range import OwnedRange

MAX_EXCESS_RATIO = 1.2
"""A part may carry this many times the wanted load."""


class RangeSplitter:
    """Splits ranges by the sampled requests in a window."""

    def __init__(self, window: LoadWindow) -> None:
        self._window = window

    def part_for_load(self, owned: OwnedRange, wanted_hits: float) -> tuple[int, int] | None:
        """Return a part of a range with at most about `wanted_hits` requests; None: there is none.

        It is the end of the range with more requests, or the narrower end if both have as many.
        """
        hits = self._window.hits_between(owned.first, owned.last)
        total = sum(weight for _, weight in hits)
        if total <= 0:
            return None
        if total <= wanted_hits * MAX_EXCESS_RATIO:
            return owned.first, owned.last
        left = self._split_key(hits, wanted_hits)
        right = self._split_key(hits[::-1], wanted_hits)
        ends: list[tuple[int, int]] = []
        if left is not None and left < owned.last:
            ends.append((owned.first, left))
        if right is not None and right > owned.first:
            ends.append((right, owned.last))
        return max(
            ends,
            key=lambda each: (self._window.count_between(*each), each[0] - each[1]),
            default=None,
        )

    def _split_key(self, hits: list[tuple[int, float]], wanted_hits: float) -> int | None:
        """Return the last key up to which `hits` sum to at most about `wanted_hits`, if any."""
        total = 0.0
        split_key: int | None = None
        index = 0
        while index < len(hits):
            key = hits[index][0]
            while index < len(hits) and hits[index][0] == key:
                total += hits[index][1]
                index += 1
            if total > wanted_hits * MAX_EXCESS_RATIO:
                return split_key
            split_key = key
        return split_key

    def equal_parts(self, owned: OwnedRange, count: int) -> list[tuple[int, int]]:
        """Split a range into parts with equally many samples, whatever their weights.

        With fewer than two samples for each part, into parts of equal width.
        """
        count = min(count, owned.width)
        hits = self._window.hits_between(owned.first, owned.last)
        if len(hits) < 2 * count:
            split_keys = [owned.first + owned.width * index // count for index in range(1, count)]
        else:
            split_keys = sorted({hits[len(hits) * index // count][0] for index in range(1, count)})
        firsts = [owned.first, *(split_key for split_key in split_keys if split_key > owned.first)]
        lasts = [*(first - 1 for first in firsts[1:]), owned.last]
        return list(zip(firsts, lasts, strict=True))

    def hottest_key(self, owned: OwnedRange) -> tuple[int, float]:
        """Return the key of a range with the most requests in the window, and their number."""
        of_key: dict[int, float] = {}
        for key, weight in self._window.hits_between(owned.first, owned.last):
            of_key[key] = of_key.get(key, 0.0) + weight
        if not of_key:
            return owned.first, 0.0
        key = max(of_key, key=lambda each: of_key[each])
        return key, of_key[key]
