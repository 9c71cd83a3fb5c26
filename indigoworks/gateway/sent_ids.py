"""Ids of the requests that a connection has carried."""

from collections import deque

RETENTION_S = 1.0
"""Time after its deadline for which an id is kept: a gateway that forwards the request to this one
counts the deadline a little differently."""


class SentIds:
    """Ids that were sent over one connection and may be sent again, since their deadline is ahead.

    The id names the request and not the single send. A late surplus response to the first send
    could not be told from the response to a second one over the same connection.
    """

    def __init__(self) -> None:
        self._ids: deque[tuple[str, float]] = deque()

    def add(self, request_id: str, deadline_s: float, now_s: float) -> None:
        """Record that a request is sent."""
        while self._ids and self._ids[0][1] < now_s:
            self._ids.popleft()
        self._ids.append((request_id, deadline_s + RETENTION_S))

    def __contains__(self, request_id: str) -> bool:
        return any(each == request_id for each, _ in self._ids)
