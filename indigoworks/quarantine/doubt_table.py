"""Table of doubts (unconfirmed crashes) about requests; see `doubt`."""

from collections import deque
from collections.abc import Callable
from random import Random

from indigoworks.common.clock import Clock
from indigoworks.quarantine.doubt import Doubt
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark, body_of, head_of, mark_of

DOUBT_LIFETIME_S = 2.0
"""Lifetime of a doubt that is not lifted: by then every gateway knows of a confirmed crash."""

MAX_DOUBTS = 1000
"""Most doubts kept; further ones are ignored."""

NUMBER_BITS = 64


class DoubtTable:
    """Doubts of this gateway and of its peers.

    A crash is reported to peers with a delay, in large groups a tenth of a second or more, and each
    attempt of a harmful request sent meanwhile crashes another server. A doubt does not count
    against a request: it only makes gateways send its attempts one at a time.

    :ivar on_doubt: called with each doubt of this gateway that peers must add or remove.
    :ivar raised: number of doubts raised by this gateway.
    :ivar announced: number of these that were announced to peers.
    :ivar on_last_lifted: called with the mark of a request when its last doubt was lifted.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._expiries: deque[tuple[float, int]] = deque()
        self._doubts: dict[int, Doubt] = {}
        self._announced: set[int] = set()
        self.raised = 0
        self.announced = 0
        self._open_by_mark: dict[RequestMark, set[int]] = {}
        self._head_counts: dict[int, int] = {}
        self.on_doubt: Callable[[Doubt], None] = _ignore_doubt
        self.on_last_lifted: Callable[[RequestMark], None] = _ignore_mark

    def has_any(self) -> bool:
        """Return whether any doubt is open."""
        if self._expiries:
            self._remove_expired()
        return bool(self._open_by_mark)

    def find(self, content: RequestContent) -> RequestMark | None:
        """Return the mark of the request, ignoring the caller, if it is in doubt; else None."""
        if not self.has_any():
            return None
        shared = content.scopes()[-1]
        head = head_of(shared)
        if head not in self._head_counts:
            return None
        mark = RequestMark(head, body_of(shared))
        return mark if mark in self._open_by_mark else None

    def open_numbers(self, content: RequestContent) -> frozenset[int]:
        """Return the numbers of the open doubts about the request."""
        mark = self.find(content)
        return frozenset() if mark is None else frozenset(self._open_by_mark[mark])

    def has_open(self, numbers: frozenset[int]) -> bool:
        """Return whether any of these doubts is open, so neither lifted nor expired."""
        self._remove_expired()
        known = (self._doubts.get(each) for each in numbers)
        return any(each is not None and not each.is_lifted for each in known)

    def raise_for(self, content: RequestContent) -> Doubt:
        """Add a doubt about a request whose connection to a server broke on this gateway."""
        doubt = Doubt(self._random.getrandbits(NUMBER_BITS), mark_of(content.scopes()[-1]))
        self.raised += 1
        self.merge(doubt)
        return doubt

    def announce(self, doubt: Doubt) -> None:
        """Announce a doubt of this gateway to the peers."""
        if doubt.number in self._doubts:
            self._announced.add(doubt.number)
            self.announced += 1
            self.on_doubt(doubt)

    def lift(self, doubt: Doubt) -> None:
        """Withdraw a doubt of this gateway: the server is alive."""
        lifted = Doubt(doubt.number, doubt.mark, is_lifted=True)
        self.merge(lifted)
        if doubt.number in self._announced:
            self.on_doubt(lifted)

    def merge(self, doubt: Doubt) -> None:
        """Add a doubt or record that it was lifted; calls may repeat and come in any order."""
        self._remove_expired()
        known = self._doubts.get(doubt.number)
        if known is None:
            if len(self._doubts) >= MAX_DOUBTS:
                return
            self._expiries.append((self._clock.now() + DOUBT_LIFETIME_S, doubt.number))
        elif known.is_lifted or not doubt.is_lifted:
            return
        self._doubts[doubt.number] = doubt
        if not doubt.is_lifted:
            self._open_doubt(doubt)
        elif known is not None and self._close_doubt(known):
            self.on_last_lifted(doubt.mark)

    def _open_doubt(self, doubt: Doubt) -> None:
        head = doubt.mark.head
        if doubt.mark not in self._open_by_mark:
            self._open_by_mark[doubt.mark] = set()
            self._head_counts[head] = self._head_counts.get(head, 0) + 1
        self._open_by_mark[doubt.mark].add(doubt.number)

    def _close_doubt(self, doubt: Doubt) -> bool:
        """Remove an open doubt; return whether it was the last one of its request."""
        numbers = self._open_by_mark[doubt.mark]
        numbers.remove(doubt.number)
        if numbers:
            return False
        del self._open_by_mark[doubt.mark]
        head = doubt.mark.head
        self._head_counts[head] -= 1
        if not self._head_counts[head]:
            del self._head_counts[head]
        return True

    def _remove_expired(self) -> None:
        now_s = self._clock.now()
        while self._expiries and self._expiries[0][0] <= now_s:
            _, number = self._expiries.popleft()
            doubt = self._doubts.pop(number)
            self._announced.discard(number)
            if not doubt.is_lifted:
                self._close_doubt(doubt)


def _ignore_doubt(doubt: Doubt) -> None:
    """Default callback; does nothing."""


def _ignore_mark(mark: RequestMark) -> None:
    """Default callback; does nothing."""
