"""Counters, histograms and gauges of a process.

They hold plain numbers, which `metrics_page` converts to prometheus_client's format. A process thus
starts without importing that library, which costs more time than all counting, and loads it when
its metrics are first requested.
"""

from bisect import bisect_left
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)

Labels = tuple[str, ...]


@dataclass
class Counter:
    """Counter with a value for each combination of labels."""

    name: str
    description: str
    labels: Labels
    values: dict[Labels, int] = field(default_factory=dict)

    def add(self, *labels: str) -> None:
        """Increment the counter of `labels` by one."""
        self.values[labels] = self.values.get(labels, 0) + 1


@dataclass
class HistogramValue:
    """Observations of one combination of labels: count per bucket, and their sum in seconds."""

    counts: list[int]
    sum_s: float = 0.0


@dataclass
class Histogram:
    """Histogram of durations for each combination of labels."""

    name: str
    description: str
    labels: Labels
    bounds_s: tuple[float, ...] = LATENCY_BOUNDS_S
    values: dict[Labels, HistogramValue] = field(default_factory=dict)

    def add(self, elapsed_s: float, *labels: str) -> None:
        """Add one observation."""
        value = self.values.get(labels)
        if value is None:
            value = self.values[labels] = HistogramValue([0] * (len(self.bounds_s) + 1))
        value.counts[bisect_left(self.bounds_s, elapsed_s)] += 1
        value.sum_s += elapsed_s


@dataclass
class Gauge:
    """Gauge, or counter kept elsewhere, whose values by labels are read for each metrics page."""

    name: str
    description: str
    labels: Labels
    read: Callable[[], Mapping[Labels, float]]


class Metrics:
    """All metrics of a process.

    :ivar read_counters: counters that are kept elsewhere and read for each metrics page.
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
        """Return a new histogram of durations in seconds."""
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
        """Add a gauge; `read` returns its values by labels."""
        self.gauges.append(Gauge(name, description, labels, read))

    def read_counter(
        self,
        name: str,
        description: str,
        labels: Labels,
        read: Callable[[], Mapping[Labels, float]],
    ) -> None:
        """Add a counter that is kept elsewhere; `read` returns its values by labels."""
        self.read_counters.append(Gauge(name, description, labels, read))
