"""Counters, histograms and gauges of a process.

They are plain numbers; `metrics_page` shows them in the form of the library. A process thus starts
without the library, whose import costs more time than all of its counting, and loads it when its
metrics are first asked for.
"""

from bisect import bisect_left
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)

Labels = tuple[str, ...]


@dataclass
class Counter:
    """A counter by labels."""

    name: str
    description: str
    labels: Labels
    values: dict[Labels, int] = field(default_factory=dict)

    def add(self, *labels: str) -> None:
        """Count one."""
        self.values[labels] = self.values.get(labels, 0) + 1


@dataclass
class HistogramValue:
    """Times of one set of labels: how many fell below each bound, and their sum in seconds."""

    counts: list[int]
    sum_s: float = 0.0


@dataclass
class Histogram:
    """A histogram of seconds by labels."""

    name: str
    description: str
    labels: Labels
    bounds_s: tuple[float, ...] = LATENCY_BOUNDS_S
    values: dict[Labels, HistogramValue] = field(default_factory=dict)

    def add(self, elapsed_s: float, *labels: str) -> None:
        """Add one time."""
        value = self.values.get(labels)
        if value is None:
            value = self.values[labels] = HistogramValue([0] * (len(self.bounds_s) + 1))
        value.counts[bisect_left(self.bounds_s, elapsed_s)] += 1
        value.sum_s += elapsed_s


@dataclass
class Gauge:
    """Values by labels that are read when the page is made."""

    name: str
    description: str
    labels: Labels
    read: Callable[[], Mapping[Labels, float]]


class Metrics:
    """All metrics of a process.

    :ivar read_counts: counters that are kept elsewhere and read when the page is made.
    """

    def __init__(self) -> None:
        self.counters: list[Counter] = []
        self.histograms: list[Histogram] = []
        self.gauges: list[Gauge] = []
        self.read_counters: list[Gauge] = []

    def counter(self, name: str, description: str, *labels: str) -> Counter:
        """Return a new counter."""
        counts = Counter(name, description, labels)
        self.counters.append(counts)
        return counts

    def histogram(self, name: str, description: str, *labels: str) -> Histogram:
        """Return a new histogram of seconds."""
        times = Histogram(name, description, labels)
        self.histograms.append(times)
        return times

    def gauge(
        self,
        name: str,
        description: str,
        labels: Labels,
        read: Callable[[], Mapping[Labels, float]],
    ) -> None:
        """Add a gauge that `read` gives by labels."""
        self.gauges.append(Gauge(name, description, labels, read))

    def read_counter(
        self,
        name: str,
        description: str,
        labels: Labels,
        read: Callable[[], Mapping[Labels, float]],
    ) -> None:
        """Add a counter that `read` gives by labels."""
        self.read_counters.append(Gauge(name, description, labels, read))
