"""Metrics of a router."""

from collections.abc import Callable
from functools import cache

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)

OUTCOME_CANCELLED = "cancelled"
"""Label of a request whose caller went away."""


class RouterMetrics:
    """Metrics in a registry of the caller's choice, so that many routers fit in one process."""

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
        # Looking a time series up costs more than counting; there are few of them.
        self._requests_of = cache(self._requests.labels)
        self._latency_of = cache(self._latency.labels)

    def observe(
        self, service: str, group: str, outcome: str, error_kind: str, duration_s: float
    ) -> None:
        """Count one answered request; service and group must be names of the settings tree."""
        self._requests_of(service, group, outcome, error_kind).inc()
        self._latency_of(service, group).observe(duration_s)

    def watch(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are."""
        gauge = Gauge(f"indigoworks_{name}", documentation, registry=self.registry)
        gauge.set_function(read)
