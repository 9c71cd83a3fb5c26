"""Rate limit of the stand-in's services."""

BURST_S = 1.0


class RateLimiter:
    """Token bucket that holds one second of requests.

    :param now_s: reading of the clock at the start; the bucket starts full.
    """

    def __init__(self, requests_per_s: float, now_s: float) -> None:
        self.requests_per_s = requests_per_s
        self._tokens = requests_per_s * BURST_S
        self._filled_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Take one request from the bucket.

        :returns: 0 where the request is admitted, else the seconds until one would be.
        """
        if self.requests_per_s <= 0:
            return 0.0
        gained = (now_s - self._filled_s) * self.requests_per_s
        self._tokens = min(self.requests_per_s * BURST_S, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.requests_per_s
