"""Ids of the requests that a connection has carried."""

RETENTION_S = 1.0
"""Time after its deadline for which an id is kept: a gateway that forwards the request to this one
counts the deadline a little differently."""


class SentIds:
    """Ids that were sent over one connection and may be sent again, since their deadline is ahead.

    The id names the request and not the single send. A late surplus response to the first send
    could not be told from the response to a second one over the same connection.
    """

    def __init__(self) -> None:
        self._kept_until_s: dict[str, float] = {}

    def add(self, request_id: str, deadline_s: float, now_s: float) -> None:
        """Record that a request is sent."""
        while self._kept_until_s:
            oldest = next(iter(self._kept_until_s))
            if self._kept_until_s[oldest] >= now_s:
                break
            del self._kept_until_s[oldest]
        self._kept_until_s[request_id] = deadline_s + RETENTION_S

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._kept_until_s
