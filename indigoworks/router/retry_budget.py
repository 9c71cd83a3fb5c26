"""Bound on the share of requests that are sent again."""

RETRY_BURST = 10.0
"""Retries that may be made at once after a quiet time."""


class RetryBudget:
    """Token bucket that is filled by requests: each adds `ratio` of a retry, each retry takes one.

    Under a lasting fault the retries of a service thus stay below `ratio` of its requests.
    """

    def __init__(self) -> None:
        self._tokens = RETRY_BURST

    def add_request(self, ratio: float) -> None:
        """Count one request of a service that allows `ratio` retries per request."""
        self._tokens = min(RETRY_BURST, self._tokens + ratio)

    def try_spend(self) -> bool:
        """Take one retry; False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
