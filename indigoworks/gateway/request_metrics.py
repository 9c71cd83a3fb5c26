"""Counters and histograms of requests."""

from indigoworks.common.metrics import Metrics


class RequestMetrics:
    """Finished requests by service, outcome and reason, their duration, and attempts at servers."""

    def __init__(self, metrics: Metrics) -> None:
        self._ended = metrics.counter(
            "gateway_requests", "Requests by outcome", "service", "outcome", "reason"
        )
        self._retries = metrics.counter(
            "gateway_repeats", "Repeats by permission", "service", "permission"
        )
        self._forwarded = metrics.counter(
            "gateway_forwarded", "Requests offered to peers, by result", "service", "result"
        )
        self._dispatched = metrics.counter(
            "gateway_dispatched", "Requests passed to dispatchers, by result", "service", "result"
        )
        self._request_s = metrics.histogram(
            "gateway_request_seconds", "Arrival to final answer", "service", "outcome"
        )
        self._attempt_s = metrics.histogram(
            "gateway_attempt_seconds", "Time at one server", "service", "result"
        )

    def ended(self, service: str, outcome: str, reason: str, elapsed_s: float) -> None:
        """Count a finished request."""
        self._ended.add(service, outcome, reason)
        self._request_s.add(elapsed_s, service, outcome)

    def attempted(self, service: str, result: str, elapsed_s: float) -> None:
        """Record the duration of a finished attempt at a server."""
        self._attempt_s.add(elapsed_s, service, result)

    def forwarded(self, service: str, result: str) -> None:
        """Count a request that was offered to a peer."""
        self._forwarded.add(service, result)

    def dispatched(self, service: str, result: str) -> None:
        """Count a request that was passed to its dispatcher."""
        self._dispatched.add(service, result)

    def retried(self, service: str, is_granted: bool) -> None:
        """Count a retry that the budget granted or denied."""
        self._retries.add(service, "granted" if is_granted else "denied")
