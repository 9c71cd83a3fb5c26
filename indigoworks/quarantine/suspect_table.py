"""Table of suspects by mark."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark, body_of, head_of
from indigoworks.quarantine.suspect import Suspect

RETENTION_S = 600.0
"""Time after which a request that was not seen is removed. Callers normally retry within seconds; a
caller that retries at the time given in the refusal is served if the fault has been fixed."""

MAX_SUSPECTS = 1000
"""Most requests kept, whatever callers send; they need 1.4 MB in all. A caller that sends another
body each time crashes a server with each request, but fills the table only with requests of one
crash, which are dropped first."""


class SuspectTable:
    """Suspects, limited in number and age; a lookup costs nothing while the table is empty."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_mark: dict[RequestMark, Suspect] = {}
        self._head_counts: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._by_mark)

    def find(self, content: RequestContent) -> Suspect | None:
        """Return the suspect for a request, or None; hashes the body only if the rest is known."""
        if not self._by_mark:
            return None
        head = head_of(content)
        if head not in self._head_counts:
            return None
        return self._by_mark.get(RequestMark(head, body_of(content)))

    def get(self, mark: RequestMark) -> Suspect | None:
        """Return the suspect with the mark, if any."""
        return self._by_mark.get(mark)

    def all(self) -> Iterable[Suspect]:
        """Return all suspects."""
        return self._by_mark.values()

    def put(self, suspect: Suspect) -> list[Suspect]:
        """Store a suspect; return those that were dropped to make room."""
        if suspect.mark not in self._by_mark:
            self._head_counts[suspect.mark.head] = self._head_counts.get(suspect.mark.head, 0) + 1
        self._by_mark[suspect.mark] = suspect
        return [] if len(self._by_mark) <= MAX_SUSPECTS else [self._drop_least()]

    def remove_expired(self) -> list[Suspect]:
        """Remove and return the suspects that have not been seen for RETENTION_S."""
        oldest_kept_s = self._clock.now() - RETENTION_S
        expired = [each for each in self._by_mark.values() if each.seen_s < oldest_kept_s]
        for each in expired:
            self._remove(each)
        return expired

    def _drop_least(self) -> Suspect:
        """Remove and return the suspect with the fewest crashes; among equals the least recent."""
        least = min(self._by_mark.values(), key=lambda each: (len(each.crashes), each.seen_s))
        self._remove(least)
        return least

    def _remove(self, suspect: Suspect) -> None:
        del self._by_mark[suspect.mark]
        remaining = self._head_counts[suspect.mark.head] - 1
        if remaining:
            self._head_counts[suspect.mark.head] = remaining
        else:
            del self._head_counts[suspect.mark.head]
