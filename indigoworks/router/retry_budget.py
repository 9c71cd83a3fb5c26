"""Limits retries to a share of the requests."""

RETRY_BURST = 10.0
"""Capacity of the bucket: retries allowed in a burst."""


class RetryBudget:
    """Token bucket filled by requests: each request adds `ratio` tokens, each retry removes one.

    During a persistent failure the retries of a service thus stay below `ratio` of its requests.
    """

    def __init__(self) -> None:
        self._tokens = RETRY_BURST

    def add_request(self, ratio: float) -> None:
        """Add tokens for one request of a service that allows `ratio` retries per request."""
        self._tokens = min(RETRY_BURST, self._tokens + ratio)

    def try_spend(self) -> bool:
        """Spend a token for one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
