"""Metrics of a router."""

from collections.abc import Callable
from functools import cache

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)

OUTCOME_CANCELLED = "cancelled"
"""Outcome label of a request whose caller disconnected."""


class RouterMetrics:
    """Metrics of a router, in a given registry so that one process can host several routers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self._requests = Counter(
            "indigoworks_requests",
            "Requests answered to callers.",
            ("service", "group", "outcome", "error"),
            registry=registry,
        )
        self._latency = Histogram(
            "indigoworks_request_seconds",
            "Time from a whole request to its answer.",
            ("service", "group"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        # Looking up a time series costs more than counting, and there are few of them.
        self._requests_of = cache(self._requests.labels)
        self._latency_of = cache(self._latency.labels)

    def observe(
        self, service: str, group: str, outcome: str, error_kind: str, duration_s: float
    ) -> None:
        """Count a finished request; service and group must not be arbitrary names from callers."""
        self._requests_of(service, group, outcome, error_kind).inc()
        self._latency_of(service, group).observe(duration_s)

    def watch(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are collected."""
        gauge = Gauge(f"indigoworks_{name}", documentation, registry=self.registry)
        gauge.set_function(read)
