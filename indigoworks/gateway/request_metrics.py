"""Counters and histograms of requests."""

from prometheus_client import CollectorRegistry, Counter, Histogram

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)


class RequestMetrics:
    """Ends of requests by service, outcome and reason, and their time."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._ended = Counter(
            "gateway_requests",
            "Requests by outcome",
            ["service", "outcome", "reason"],
            registry=registry,
        )
        self._repeats = Counter(
            "gateway_repeats",
            "Repeats by permission",
            ["service", "permission"],
            registry=registry,
        )
        self._latency_s = Histogram(
            "gateway_request_seconds",
            "Time from arrival to the final answer",
            ["service", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )

    def ended(self, service: str, outcome: str, reason: str, elapsed_s: float) -> None:
        """Count a request that ended."""
        self._ended.labels(service, outcome, reason).inc()
        self._latency_s.labels(service, outcome).observe(elapsed_s)

    def repeated(self, service: str, is_granted: bool) -> None:
        """Count a repeat that the budget granted or denied."""
        self._repeats.labels(service, "granted" if is_granted else "denied").inc()
