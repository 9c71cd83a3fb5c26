"""Which suspect requests the next report to the peers names."""

from collections import OrderedDict, deque
from itertools import islice

from indigoworks.common.clock import Clock
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.quarantine.suspect import Suspect
from indigoworks.quarantine.suspect_table import SuspectTable

REPORTS_PER_CHANGE = 4
"""Reports that name a suspect after each change of it. At least every second one goes to all zones,
and whoever learns of it tells it as often again."""

REPEAT_S = 1.0
"""Suspects with more than one crash are named once more each so many seconds, for gateways whose
links lost all of the first tellings. Who is heard anew is told all at once."""

MAX_SUSPECTS_PER_REPORT = 16
"""Suspects in one report, of 44 bytes each at three crashes (measured), 0.7 KB: so
a report stays below the 1.5 KB of a packet."""


class SuspectReportQueue:
    """Keeps what is still to be told: first those close to a refusal, then those of one crash and
    those that are cleared. A report costs the same however many there are."""

    def __init__(self, table: SuspectTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._urgent: OrderedDict[RequestMark, int] = OrderedDict()
        self._others: OrderedDict[RequestMark, int] = OrderedDict()
        self._to_repeat: deque[RequestMark] = deque()
        self._repeated_s = float("-inf")

    def enqueue(self, suspect: Suspect) -> None:
        """Note that peers are to learn of a suspect."""
        self.remove(suspect.mark)
        waiting = self._urgent if len(suspect.crashes) > 1 else self._others
        waiting[suspect.mark] = REPORTS_PER_CHANGE

    def remove(self, mark: RequestMark) -> None:
        """Tell no more of a request."""
        self._urgent.pop(mark, None)
        self._others.pop(mark, None)

    def has_pending(self) -> bool:
        """Tell whether a report would say something that peers may not know."""
        return bool(self._urgent or self._others)

    def next_batch(self) -> list[Suspect]:
        """Return what the next report names; each call counts as one telling."""
        told = self._tell(self._urgent, MAX_SUSPECTS_PER_REPORT)
        told += self._tell(self._others, MAX_SUSPECTS_PER_REPORT - len(told))
        return told + self._repeated(MAX_SUSPECTS_PER_REPORT - len(told))

    def _tell(self, waiting: OrderedDict[RequestMark, int], most: int) -> list[Suspect]:
        found: list[Suspect] = []
        for mark in list(islice(waiting, most)):
            left = waiting.pop(mark) - 1
            if left:
                # The others have their turn before it is told again.
                waiting[mark] = left
            suspect = self._table.get(mark)
            if suspect is not None:
                found.append(suspect)
        return found

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
