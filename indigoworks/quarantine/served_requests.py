"""Record of the most recently served requests."""

from collections import deque

from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark, mark_of

KEPT_REQUESTS = 512
"""Served requests that are kept. A harmless request that runs on three servers at the same moment
is one of the few that make up much of the traffic, so it is among these many times."""

MAX_BODY_BYTES = 4096
"""Requests with longer bodies are not kept; the others need at most 2.3 MB of memory."""

KEPT_MARKS = 3 * KEPT_REQUESTS
"""Marks of the kept requests, up to three for each."""


class ServedRequests:
    """Records served requests, so that a crash that is reported late does not count if the request
    was served after it.

    Contents are kept unhashed, which costs 0.5 us a request; they are hashed only when there is a
    suspect, each at most once.
    """

    def __init__(self) -> None:
        self._unhashed: deque[tuple[float, RequestContent]] = deque(maxlen=KEPT_REQUESTS)
        self._marks: deque[tuple[float, RequestMark]] = deque(maxlen=KEPT_MARKS)
        self._last_served_s: dict[RequestMark, float] = {}

    def add(self, content: RequestContent, at_s: float) -> None:
        """Record a served request."""
        if len(content.body) <= MAX_BODY_BYTES:
            self._unhashed.append((at_s, content))

    def last_served_s(self, mark: RequestMark) -> float:
        """Return when a request was last served; minus infinity if it is not recorded."""
        while self._unhashed:
            at_s, content = self._unhashed.popleft()
            for scope in content.scopes():
                self._add_mark(at_s, mark_of(scope))
        return self._last_served_s.get(mark, float("-inf"))

    def _add_mark(self, at_s: float, mark: RequestMark) -> None:
        if len(self._marks) == KEPT_MARKS:
            oldest_s, oldest = self._marks.popleft()
            if self._last_served_s.get(oldest) == oldest_s:
                del self._last_served_s[oldest]
        self._marks.append((at_s, mark))
        self._last_served_s[mark] = at_s
