"""Requests that are remembered, by their marks."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark, body_of, head_of
from indigoworks.quarantine.suspect import Suspect

RETENTION_S = 600.0
"""A request that was not seen for so long is forgotten. An estimate: callers come again within
seconds, and who comes back when the refusal says so is served again if the fault is mended."""

MAX_SUSPECTS = 1000
"""Requests that are remembered at most, whatever callers send: 1.4 MB with all that is kept of them
(measured, scenario of bounds). Who sends another body each time ends a server with each of them,
and fills the table only with requests of one crash, which go first."""


class SuspectTable:
    """Bounded in number and time; costs a request nothing while it is empty."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_mark: dict[RequestMark, Suspect] = {}
        self._heads: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._by_mark)

    def find(self, content: RequestContent) -> Suspect | None:
        """Return what is known of a request; its body is hashed only if the rest is known."""
        if not self._by_mark:
            return None
        head = head_of(content)
        if head not in self._heads:
            return None
        return self._by_mark.get(RequestMark(head, body_of(content)))

    def get(self, mark: RequestMark) -> Suspect | None:
        """Return what is known of the request of a mark."""
        return self._by_mark.get(mark)

    def all(self) -> Iterable[Suspect]:
        """Return all that is remembered."""
        return self._by_mark.values()

    def put(self, suspect: Suspect) -> list[Suspect]:
        """Remember a request; returns those for which there is no room any more."""
        if suspect.mark not in self._by_mark:
            self._heads[suspect.mark.head] = self._heads.get(suspect.mark.head, 0) + 1
        self._by_mark[suspect.mark] = suspect
        return [] if len(self._by_mark) <= MAX_SUSPECTS else [self._drop_least()]

    def remove_expired(self) -> list[Suspect]:
        """Forget what was not seen for MEMORY_S; returns it."""
        earliest_s = self._clock.now() - RETENTION_S
        old = [each for each in self._by_mark.values() if each.seen_s < earliest_s]
        for each in old:
            self._remove(each)
        return old

    def _drop_least(self) -> Suspect:
        """Forget one of the fewest crashes, of these the one that was not seen for longest."""
        least = min(self._by_mark.values(), key=lambda each: (len(each.crashes), each.seen_s))
        self._remove(least)
        return least

    def _remove(self, suspect: Suspect) -> None:
        del self._by_mark[suspect.mark]
        left = self._heads[suspect.mark.head] - 1
        if left:
            self._heads[suspect.mark.head] = left
        else:
            del self._heads[suspect.mark.head]
