"""Which suspect requests the next report to the peers names."""

from collections import deque
from heapq import nlargest

from indigoworks.common.clock import Clock
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.quarantine.suspect import Suspect
from indigoworks.quarantine.suspect_table import SuspectTable

TELL_TIMES = 4
"""Reports that name a suspect after each change of it. At least every second one goes to all zones,
and whoever learns of it tells it as often again."""

REPEAT_S = 1.0
"""Suspects with more than one crash are named once more each so many seconds, for gateways whose
links lost all of the first tellings. Who is heard anew is told all at once."""

MAX_TOLD = 16
"""Suspects in one report, of 44 bytes each at three crashes (measured), 0.7 KB: so
a report stays below the 1.5 KB of a packet."""


class SuspectNews:
    """Keeps what is still to be told, the worst first."""

    def __init__(self, table: SuspectTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._left: dict[RequestMark, int] = {}
        self._to_repeat: deque[RequestMark] = deque()
        self._repeated_s = float("-inf")

    def changed(self, mark: RequestMark) -> None:
        """Note that peers are to learn of a suspect."""
        self._left[mark] = TELL_TIMES

    def forget(self, mark: RequestMark) -> None:
        """Tell no more of a request."""
        self._left.pop(mark, None)

    def is_due(self) -> bool:
        """Tell whether a report would say something that peers may not know."""
        return bool(self._left)

    def take(self) -> list[Suspect]:
        """Return what the next report names; each call counts as one telling."""
        told = nlargest(MAX_TOLD, self._changed(), key=lambda each: len(each.crashes))
        for each in told:
            self._note_told(each.mark)
        return told + self._repeated(MAX_TOLD - len(told))

    def _changed(self) -> list[Suspect]:
        known = (self._table.get(mark) for mark in self._left)
        return [each for each in known if each is not None]

    def _note_told(self, mark: RequestMark) -> None:
        left = self._left[mark] - 1
        if left:
            self._left[mark] = left
        else:
            del self._left[mark]

    def _repeated(self, most: int) -> list[Suspect]:
        """Return up to so many suspects that are named again without a change."""
        now_s = self._clock.now()
        if not self._to_repeat and now_s - self._repeated_s >= REPEAT_S:
            self._repeated_s = now_s
            # Looking through all of them for each report took 1 ms with 1,000.
            self._to_repeat.extend(each.mark for each in self._table.all() if len(each.crashes) > 1)
        found: list[Suspect] = []
        while self._to_repeat and len(found) < most:
            suspect = self._table.get(self._to_repeat.popleft())
            if suspect is not None:
                found.append(suspect)
        return found
