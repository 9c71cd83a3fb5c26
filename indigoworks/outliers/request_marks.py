"""Requests that fail at one server after another: then the request is at fault."""

from dataclasses import dataclass, field

from indigoworks.common.clock import Clock

MARK_VALID_S = 3.0
"""Time for which a failed request is remembered."""

MAX_MARKS = 256
"""Largest number of failed requests that are remembered; the oldest are dropped first."""


@dataclass(slots=True)
class _Mark:
    at_s: float
    servers: set[str] = field(default_factory=set)


class RequestMarks:
    """Remembers which requests failed at which servers.

    A request that fails at a second server, and at no server in between was served, harms servers
    or is answered with an error by each. Requests that are the same share a mark.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._marks: dict[int, _Mark] = {}

    def __bool__(self) -> bool:
        """Return whether any failed request is remembered."""
        return bool(self._marks)

    def record_good(self, mark: int) -> None:
        """Record that a request was served: its faults were those of servers."""
        self._marks.pop(mark, None)

    def record_fault(self, mark: int, server_id: str) -> bool:
        """Record that a request failed; return whether that speaks against the server."""
        now_s = self._clock.now()
        self._drop_old(now_s)
        known = self._marks.pop(mark, None) or _Mark(now_s)
        known.at_s = now_s
        known.servers.add(server_id)
        self._marks[mark] = known
        return len(known.servers) == 1

    def _drop_old(self, now_s: float) -> None:
        while self._marks:
            oldest = next(iter(self._marks))
            if len(self._marks) < MAX_MARKS and now_s - self._marks[oldest].at_s <= MARK_VALID_S:
                return
            del self._marks[oldest]
