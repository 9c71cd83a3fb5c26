"""Sliding window of sampled requests by key."""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.exchange.key_sample import KeySample


@dataclass(frozen=True, slots=True)
class _Hit:
    at_s: float
    key: int
    weight: float


class LoadWindow:
    """Sampled request keys of one service in the last `length_s` seconds."""

    def __init__(self, length_s: float, clock: Clock) -> None:
        self._length_s = length_s
        self._clock = clock
        self._started_s = clock.now()
        self._first_hit_s: float | None = None
        self._hits: deque[_Hit] = deque()
        self._sorted: list[tuple[int, float]] | None = None

    def add(self, sample: KeySample) -> None:
        """Add the keys of one report, each weighted to stand for unsampled requests too."""
        if not sample.keys:
            return
        weight = sample.total / len(sample.keys)
        now_s = self._clock.now()
        if self._first_hit_s is None:
            self._first_hit_s = now_s
        self._hits.extend(_Hit(now_s, key, weight) for key in sample.keys)
        self._sorted = None

    def advance(self) -> None:
        """Drop what is older than the window."""
        earliest_s = self._clock.now() - self._length_s
        while self._hits and self._hits[0].at_s < earliest_s:
            self._hits.popleft()
            self._sorted = None

    @property
    def covered_s(self) -> float:
        """Return the seconds that the window covers so far."""
        return min(self._length_s, max(1e-3, self._clock.now() - self._started_s))

    @property
    def traffic_s(self) -> float:
        """Return the seconds since the first sampled request; 0: there was none."""
        return 0.0 if self._first_hit_s is None else self._clock.now() - self._first_hit_s

    def hits_between(self, first: int, last: int) -> list[tuple[int, float]]:
        """Return (key, requests) of each sample from `first` to `last`, sorted by key."""
        ordered = self._ordered()
        start = bisect_left(ordered, (first, 0.0))
        end = bisect_right(ordered, (last, float("inf")))
        return ordered[start:end]

    def count_between(self, first: int, last: int) -> float:
        """Return the requests for keys from `first` to `last` in the window."""
        return sum(weight for _, weight in self.hits_between(first, last))

    def _ordered(self) -> list[tuple[int, float]]:
        if self._sorted is None:
            self._sorted = sorted((hit.key, hit.weight) for hit in self._hits)
        return self._sorted


def add_samples(windows: dict[str, LoadWindow], samples: Iterable[KeySample]) -> None:
    """Add samples to the windows of their services."""
    for sample in samples:
        window = windows.get(sample.service)
        if window is not None:
            window.add(sample)
