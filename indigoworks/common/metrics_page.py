"""Renders metrics in the Prometheus text format."""

from collections.abc import Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from indigoworks.common.metrics import Counter, Gauge, Histogram, Labels, Metrics


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families; called by prometheus_client."""
        for counts in self._metrics.counters:
            yield _counter(counts, counts.values)
        for read in self._metrics.read_counters:
            yield _counter(read, read.read())
        for times in self._metrics.histograms:
            yield _histogram(times)
        for gauges in self._metrics.gauges:
            yield _gauge(gauges)


def metrics_page(metrics: Metrics) -> bytes:
    """Return the page of all metrics as UTF-8 text."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)


def _counter(counts: Counter | Gauge, values: Mapping[Labels, float]) -> Metric:
    family = CounterMetricFamily(counts.name, counts.description, labels=counts.labels)
    for labels, value in values.items():
        family.add_metric(list(labels), value)
    return family


def _histogram(times: Histogram) -> Metric:
    family = HistogramMetricFamily(times.name, times.description, labels=times.labels)
    for labels, value in times.values.items():
        family.add_metric(list(labels), list(_buckets(times.bounds_s, value.counts)), value.sum_s)
    return family


def _buckets(bounds_s: Iterable[float], counts: list[int]) -> Iterator[tuple[str, float]]:
    total = 0
    for bound, count in zip([*map(str, bounds_s), "+Inf"], counts, strict=True):
        total += count
        yield bound, total


def _gauge(gauges: Gauge) -> Metric:
    family = GaugeMetricFamily(gauges.name, gauges.description, labels=gauges.labels)
    for labels, value in gauges.read().items():
        family.add_metric(list(labels), value)
    return family
