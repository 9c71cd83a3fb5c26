"""The requests that were served last."""

from collections import deque

from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark, mark_of

KEPT_REQUESTS = 512
"""Served requests that are kept. A request that is in hand at three servers at the same moment is
one of a few that make up much of the traffic, and stands among them many times."""

MAX_BODY_BYTES = 4096
"""Requests with longer bodies are not kept: the others take 2.3 MB at most (computed)."""

KEPT_MARKS = 3 * KEPT_REQUESTS
"""Marks of these: up to three for each."""


class ServedRequests:
    """Remembers what was served, so that word of a crash that comes late finds that a run ended
    well after it.

    Keeps the contents as they are, 0.5 us a request; they are hashed only once there is a suspect,
    each at most once.
    """

    def __init__(self) -> None:
        self._fresh: deque[tuple[float, RequestContent]] = deque(maxlen=KEPT_REQUESTS)
        self._marked: deque[tuple[float, RequestMark]] = deque(maxlen=KEPT_MARKS)
        self._served_s: dict[RequestMark, float] = {}

    def add(self, content: RequestContent, at_s: float) -> None:
        """Keep a request that was served."""
        if len(content.body) <= MAX_BODY_BYTES:
            self._fresh.append((at_s, content))

    def last_served_s(self, mark: RequestMark) -> float:
        """Return when a request was served last; minus infinity: not among those that are kept."""
        while self._fresh:
            at_s, content = self._fresh.popleft()
            for scope in content.scopes():
                self._mark(at_s, mark_of(scope))
        return self._served_s.get(mark, float("-inf"))

    def _mark(self, at_s: float, mark: RequestMark) -> None:
        if len(self._marked) == KEPT_MARKS:
            oldest_s, oldest = self._marked.popleft()
            if self._served_s.get(oldest) == oldest_s:
                del self._served_s[oldest]
        self._marked.append((at_s, mark))
        self._served_s[mark] = at_s
