"""Queue of suspects to include in reports to peers."""

from collections import OrderedDict, deque
from itertools import islice

from indigoworks.common.clock import Clock
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.quarantine.suspect import Suspect
from indigoworks.quarantine.suspect_table import SuspectTable

REPORTS_PER_CHANGE = 4
"""Reports that include a suspect after each change of it. At least every second report goes to all
zones, and each gateway that learns of the change reports it as often again."""

REPEAT_INTERVAL_S = 1.0
"""Interval at which suspects with more than one crash are reported again, for gateways that lost
all earlier reports. A peer that comes back into contact gets all suspects at once."""

MAX_SUSPECTS_PER_REPORT = 16
"""Most suspects in one report: at 44 bytes each with three crashes they take 0.7 KB, so a report
fits into a packet of 1.5 KB."""


class SuspectReportQueue:
    """Suspects to report: first those close to a refusal, then those with one crash or cleared.

    A report costs the same for any number of suspects, except for a scan of the whole table at most
    once in REPEAT_INTERVAL_S.
    """

    def __init__(self, table: SuspectTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._urgent: OrderedDict[RequestMark, int] = OrderedDict()
        self._others: OrderedDict[RequestMark, int] = OrderedDict()
        self._to_repeat: deque[RequestMark] = deque()
        self._repeated_s = float("-inf")

    def enqueue(self, suspect: Suspect) -> None:
        """Queue a changed suspect for the next reports."""
        self.remove(suspect.mark)
        queue = self._urgent if len(suspect.crashes) > 1 else self._others
        queue[suspect.mark] = REPORTS_PER_CHANGE

    def remove(self, mark: RequestMark) -> None:
        """Remove a request from the queue."""
        self._urgent.pop(mark, None)
        self._others.pop(mark, None)

    def has_pending(self) -> bool:
        """Return whether there are changes that peers may not have received."""
        return bool(self._urgent or self._others)

    def next_batch(self) -> list[Suspect]:
        """Return the suspects of the next report; each call counts as one report."""
        batch = self._next_from(self._urgent, MAX_SUSPECTS_PER_REPORT)
        batch += self._next_from(self._others, MAX_SUSPECTS_PER_REPORT - len(batch))
        return batch + self._next_repeated(MAX_SUSPECTS_PER_REPORT - len(batch))

    def _next_from(self, queue: OrderedDict[RequestMark, int], limit: int) -> list[Suspect]:
        found: list[Suspect] = []
        for mark in list(islice(queue, limit)):
            remaining = queue.pop(mark) - 1
            if remaining:
                # Moved to the end: other suspects are reported before it is repeated.
                queue[mark] = remaining
            suspect = self._table.get(mark)
            if suspect is not None:
                found.append(suspect)
        return found

    def _next_repeated(self, limit: int) -> list[Suspect]:
        """Return up to `limit` suspects that are reported again without a change."""
        now_s = self._clock.now()
        if not self._to_repeat and now_s - self._repeated_s >= REPEAT_INTERVAL_S:
            self._repeated_s = now_s
            # Not for each report: a scan of 1,000 suspects takes 1 ms.
            self._to_repeat.extend(each.mark for each in self._table.all() if len(each.crashes) > 1)
        found: list[Suspect] = []
        while self._to_repeat and len(found) < limit:
            suspect = self._table.get(self._to_repeat.popleft())
            if suspect is not None:
                found.append(suspect)
        return found
