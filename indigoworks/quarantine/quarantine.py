"""Quarantine: refuses requests that crash one server after another."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.suspect_record import SuspectRecord
from indigoworks.quarantine.crash_ids import (
    NO_WINDOW,
    last_window,
    make_caller_crash_id,
    make_shared_crash_id,
    window_of,
)
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import MarkedRequest, RequestMark, mark_scopes
from indigoworks.quarantine.served_requests import ServedRequests
from indigoworks.quarantine.suspect import Suspect
from indigoworks.quarantine.suspect_report_queue import SuspectReportQueue
from indigoworks.quarantine.suspect_table import MAX_SUSPECTS, RETENTION_S, SuspectTable

MAX_LOGGED_TARGET = 80
"""Characters of a path and query that a log line contains."""


class Quarantine:
    """Requests during which servers crashed, as known to all gateways together.

    Each attempt of a request has a new id and may arrive at any gateway: attempts are matched by
    content, and only all gateways together see how many servers crashed, so each reports every
    crash to the others. A harmless request that ran on a crashed server is cleared by its
    next successful run; the harmful one has none.

    :param to_common_s: converts a reading of the clock to a clock shared by all gateways.
    :ivar refused: refusals so far.
    :ivar refused_innocents: refusals of requests that a later run cleared.
    :ivar on_unreported: called when peers should get a report soon.
    :ivar on_status_change: called with a request that becomes refused or is cleared, if this
        process detected one of its crashes or the run that clears it.
    :ivar on_refusal: called on each refusal.
    :ivar on_crash: called with each suspect of a crash that this process detected.
    """

    def __init__(
        self, clock: Clock, to_common_s: Callable[[float], float] = lambda at_s: at_s
    ) -> None:
        self._clock = clock
        self._to_common_s = to_common_s
        self._table = SuspectTable(clock)
        self._served = ServedRequests()
        self._report_queue = SuspectReportQueue(self._table, clock)
        self._refusals: dict[RequestMark, int] = {}
        self._own_crashes: deque[int] = deque(maxlen=2 * MAX_SUSPECTS)
        self.refused = 0
        self.refused_innocents = 0
        self.on_unreported: Callable[[], None] = lambda: None
        self.on_status_change: Callable[[Suspect], None] = lambda suspect: None
        self.on_refusal: Callable[[Suspect], None] = lambda suspect: None
        self.on_crash: Callable[[Suspect], None] = lambda suspect: None

    # ---- requests ----

    def has_suspects(self) -> bool:
        """Return whether any request is tracked."""
        return len(self._table) > 0

    def is_refused(self, content: RequestContent) -> bool:
        """Return whether a request must not be sent to any server; count the refusal if so."""
        return self.refused_for_s(content) > 0

    def refused_for_s(self, content: RequestContent) -> float:
        """Return the seconds for which a request is refused, 0 if it is not; count the refusal.

        For a request of one caller: the seconds after which it is served if the caller does not
        send it meanwhile.
        """
        now_s = self._clock.now()
        for scope in content.scopes():
            known = self._table.find(scope)
            if known is not None and known.is_refused and not known.may_be_retried(now_s):
                self._record_refusal(known)
                return known.remaining_refusal_s(now_s) if known.is_shared else RETENTION_S
        return 0.0

    def suspect_mark(self, content: RequestContent) -> RequestMark | None:
        """Return the mark of the request, ignoring the caller, if a server crashed during it since
        it was last served; else None."""
        known = self._table.find(content.scopes()[-1])
        return known.mark if known is not None and known.crashes else None

    def window_of(self, at_s: float) -> int:
        """Return the window of a reading of the clock."""
        return window_of(self._to_common_s(at_s))

    def known_windows(self, content: RequestContent) -> tuple[int, ...]:
        """Return the window of the last known crash for each scope of a request; NO_WINDOW if there
        is none since the request was last served."""
        found = (self._table.find(scope) for scope in content.scopes())
        return tuple(NO_WINDOW if each is None else last_window(each.crashes) for each in found)

    def record_served(self, content: RequestContent) -> None:
        """Record that a server ran a request and is alive."""
        now_s = self._clock.now()
        self._served.add(content, now_s)
        if not self._table:
            return
        for scope in content.scopes():
            known = self._table.find(scope)
            if known is not None and known.crashes:
                self._clear(known)

    def record_crash(
        self,
        content: RequestContent,
        request_id: str,
        server_id: str,
        at_s: float,
        known_windows: tuple[int, ...] = (),
    ) -> None:
        """Record that a server crashed at `at_s` while it ran a request.

        :param known_windows: `known_windows()` at the time when the request was sent; crashes known
            then and this one count separately. Empty: none was known.
        """
        self.record_marked_crash(mark_scopes(content), request_id, server_id, at_s, known_windows)

    def record_marked_crash(
        self,
        scopes: Sequence[MarkedRequest],
        request_id: str,
        server_id: str,
        at_s: float,
        known_windows: tuple[int, ...],
    ) -> None:
        """Record a crash under a request that was marked before, such as when it was lost."""
        common_s = self._to_common_s(at_s)
        for marked, known_window in zip(
            scopes, known_windows or (NO_WINDOW,) * len(scopes), strict=True
        ):
            scope, mark = marked.content, marked.mark
            make = make_shared_crash_id if scope.is_shared else make_caller_crash_id
            crash_id = make(common_s, known_window, server_id)
            self._own_crashes.append(crash_id)
            known = self._table.get(mark) or _new_suspect(mark, scope.is_shared)
            if known.is_cleared_since(at_s):
                continue
            changed = known.with_crash(crash_id, at_s)
            log_message(
                message_type="quarantine:crash",
                level="WARNING",
                request_id=request_id,
                server=server_id,
                mark=str(mark),
                method=scope.method,
                host=scope.host,
                target=scope.target[:MAX_LOGGED_TARGET],
                caller=scope.caller,
                crashes=changed.crash_count,
            )
            self._store(known, changed)
            self.on_crash(changed)
        self.on_unreported()

    def remove_expired(self) -> None:
        """Remove requests that have not been seen for RETENTION_S."""
        for each in self._table.remove_expired():
            self._clean_up_removed(each)

    # ---- exchange with peers and store ----

    def merge_suspects(self, records: Iterable[SuspectRecord]) -> None:
        """Merge what a peer reported or the store holds."""
        for record in records:
            if record.seen_age_s < RETENTION_S:
                self._merge_record(record)

    def next_report(self) -> tuple[SuspectRecord, ...]:
        """Return the suspects of the next report; each call counts as one report."""
        return tuple(self.to_record(each) for each in self._report_queue.next_batch())

    def report_all_again(self) -> None:
        """Queue all suspects for reports again, for a peer that may know none of them."""
        for each in self._table.all():
            if each.crashes:
                self._report_queue.enqueue(each)

    def has_unreported(self) -> bool:
        """Return whether there are changes that peers may not have received."""
        return self._report_queue.has_pending()

    def get(self, mark: RequestMark) -> Suspect | None:
        """Return what is known about the request with the mark, if anything."""
        return self._table.get(mark)

    def to_record(self, suspect: Suspect) -> SuspectRecord:
        """Return the message about a suspect, with ages as of now."""
        now_s = self._clock.now()
        return SuspectRecord(
            head=suspect.mark.head,
            body=suspect.mark.body,
            generation=suspect.generation,
            crashes=tuple(sorted(suspect.crashes)),
            crashed_age_s=now_s - suspect.crashed_s,
            seen_age_s=now_s - suspect.seen_s,
            is_shared=suspect.is_shared,
        )

    # ---- counts ----

    def count_refused(self) -> int:
        """Return the number of refused requests."""
        return sum(each.is_refused for each in self._table.all())

    def count_watched(self) -> int:
        """Return the number of requests with crashes that are not refused."""
        return sum(bool(each.crashes) and not each.is_refused for each in self._table.all())

    # ---- internals ----

    def _record_refusal(self, known: Suspect) -> None:
        self.refused += 1
        self._refusals[known.mark] = self._refusals.get(known.mark, 0) + 1
        self._table.put(known.with_seen(self._clock.now()))
        self.on_refusal(known)

    def _merge_record(self, record: SuspectRecord) -> None:
        now_s = self._clock.now()
        mark = RequestMark(record.head, record.body)
        reported = Suspect(
            mark,
            record.generation,
            frozenset(record.crashes),
            now_s - record.crashed_age_s,
            now_s - record.seen_age_s,
            record.is_shared,
        )
        known = self._table.get(mark)
        merged = reported if known is None else known.merged_with(reported)
        if known is not None and _is_unchanged(known, merged):
            self._table.put(merged)
            return
        self._store(known or _new_suspect(mark, record.is_shared), merged)

    def _store(self, before: Suspect, after: Suspect) -> None:
        """Store a changed suspect and queue it for reports."""
        for removed in self._table.put(after):
            self._clean_up_removed(removed)
        self._report_queue.enqueue(after)
        self._handle_status_change(before, after)
        # A report of a crash may arrive after a run that clears the request.
        if after.crashes and self._served.last_served_s(after.mark) > after.crashed_s:
            self._clear(after)

    def _clear(self, known: Suspect) -> None:
        cleared = known.cleared(self._clock.now())
        self._store(known, cleared)
        if known.is_refused:
            self.on_status_change(cleared)
        self.on_unreported()

    def _handle_status_change(self, before: Suspect, after: Suspect) -> None:
        if before.is_refused == after.is_refused:
            return
        if after.is_refused:
            log_message(
                message_type="quarantine:begun",
                level="WARNING",
                mark=str(after.mark),
                crashes=after.crash_count,
                is_shared=after.is_shared,
            )
            if not after.crashes.isdisjoint(self._own_crashes):
                self.on_status_change(after)
        else:
            innocents = self._refusals.pop(after.mark, 0)
            self.refused_innocents += innocents
            log_message(
                message_type="quarantine:lifted",
                level="WARNING",
                mark=str(after.mark),
                refused=innocents,
            )

    def _clean_up_removed(self, suspect: Suspect) -> None:
        self._report_queue.remove(suspect.mark)
        self._refusals.pop(suspect.mark, None)
        if suspect.is_refused:
            log_message(message_type="quarantine:forgotten", mark=str(suspect.mark))


def _new_suspect(mark: RequestMark, is_shared: bool) -> Suspect:
    return Suspect(mark, 0, frozenset(), float("-inf"), float("-inf"), is_shared)


def _is_unchanged(one: Suspect, other: Suspect) -> bool:
    return (one.generation, one.crashes) == (other.generation, other.crashes)
