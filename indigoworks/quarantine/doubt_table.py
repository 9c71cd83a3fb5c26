"""Requests of which one try at a time goes on until it is known whether a server ended."""

from collections import deque
from collections.abc import Callable
from random import Random

from indigoworks.common.clock import Clock
from indigoworks.quarantine.doubt import Doubt
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark, body_of, head_of, mark_of

DOUBT_S = 2.0
"""A doubt that nobody lifts ends after so long: by then all gateways know of an end that was
judged."""

MAX_DOUBTS = 1000
"""Doubts that are remembered; one more is passed over."""

NUMBER_BITS = 64


class DoubtTable:
    """Doubts of this gateway and of its peers.

    Word of a server that ended comes with a report, in large groups a tenth of a second and more
    after the end, and each try that is sent meanwhile ends another server. A doubt holds nothing
    against a request: it only makes its tries wait for one another.

    :ivar on_doubt: called with each doubt of this gateway that its peers are to know or to forget.
    :ivar raised: doubts that were raised here so far.
    :ivar told: doubts of these that peers were told of.
    :ivar on_free: called with the mark of a request of which the last doubt was lifted.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._until_s: deque[tuple[float, int]] = deque()
        self._doubts: dict[int, Doubt] = {}
        self._announced: set[int] = set()
        self.raised = 0
        self.announced = 0
        self._open: dict[RequestMark, set[int]] = {}
        self._heads: dict[int, int] = {}
        self.on_doubt: Callable[[Doubt], None] = _ignore_doubt
        self.on_last_lifted: Callable[[RequestMark], None] = _ignore_mark

    def has_any(self) -> bool:
        """Tell whether there is anything to compare requests with."""
        if self._until_s:
            self._drop_old()
        return bool(self._open)

    def find(self, content: RequestContent) -> RequestMark | None:
        """Return the mark of a request in doubt, whoever sends it; None: there is no doubt."""
        if not self.has_any():
            return None
        shared = content.scopes()[-1]
        head = head_of(shared)
        if head not in self._heads:
            return None
        mark = RequestMark(head, body_of(shared))
        return mark if mark in self._open else None

    def open_numbers(self, content: RequestContent) -> frozenset[int]:
        """Return the numbers of the open doubts about a request."""
        mark = self.find(content)
        return frozenset() if mark is None else frozenset(self._open[mark])

    def has_open(self, numbers: frozenset[int]) -> bool:
        """Tell whether any of these doubts is open: nobody has found that its server lives."""
        self._drop_old()
        known = (self._doubts.get(each) for each in numbers)
        return any(each is not None and not each.is_lifted for each in known)

    def raise_for(self, content: RequestContent) -> Doubt:
        """Doubt a request under which a connection broke off here."""
        doubt = Doubt(self._random.getrandbits(NUMBER_BITS), mark_of(content.scopes()[-1]))
        self.raised += 1
        self.merge(doubt)
        return doubt

    def announce(self, doubt: Doubt) -> None:
        """Let the peers know of a doubt of this gateway."""
        if doubt.number in self._doubts:
            self._announced.add(doubt.number)
            self.announced += 1
            self.on_doubt(doubt)

    def lift(self, doubt: Doubt) -> None:
        """Take a doubt of this gateway back: the server lives."""
        lifted = Doubt(doubt.number, doubt.mark, is_lifted=True)
        self.merge(lifted)
        if doubt.number in self._announced:
            self.on_doubt(lifted)

    def merge(self, doubt: Doubt) -> None:
        """Take a doubt, or word that it is lifted: these come in any order, any number of times."""
        self._drop_old()
        known = self._doubts.get(doubt.number)
        if known is None:
            if len(self._doubts) >= MAX_DOUBTS:
                return
            self._until_s.append((self._clock.now() + DOUBT_S, doubt.number))
        elif known.is_lifted or not doubt.is_lifted:
            return
        self._doubts[doubt.number] = doubt
        if not doubt.is_lifted:
            self._begin(doubt)
        elif known is not None and self._end(known):
            self.on_last_lifted(doubt.mark)

    def _begin(self, doubt: Doubt) -> None:
        head = doubt.mark.head
        if doubt.mark not in self._open:
            self._open[doubt.mark] = set()
            self._heads[head] = self._heads.get(head, 0) + 1
        self._open[doubt.mark].add(doubt.number)

    def _end(self, doubt: Doubt) -> bool:
        """Forget an open doubt; returns whether it was the last one of its request."""
        numbers = self._open[doubt.mark]
        numbers.remove(doubt.number)
        if numbers:
            return False
        del self._open[doubt.mark]
        head = doubt.mark.head
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]
        return True

    def _drop_old(self) -> None:
        now_s = self._clock.now()
        while self._until_s and self._until_s[0][0] <= now_s:
            _, number = self._until_s.popleft()
            doubt = self._doubts.pop(number)
            self._announced.discard(number)
            if not doubt.is_lifted:
                self._end(doubt)


def _ignore_doubt(doubt: Doubt) -> None:
    """Stand in until somebody wants to know."""


def _ignore_mark(mark: RequestMark) -> None:
    """Stand in until somebody wants to know."""
