"""Refuses requests under which servers ended, one after the other."""

from collections import deque
from collections.abc import Callable, Iterable

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
from indigoworks.quarantine.request_mark import RequestMark, mark_of
from indigoworks.quarantine.served_requests import ServedRequests
from indigoworks.quarantine.suspect import Suspect
from indigoworks.quarantine.suspect_report_queue import SuspectReportQueue
from indigoworks.quarantine.suspect_table import MAX_SUSPECTS, RETENTION_S, SuspectTable

MAX_LOGGED_TARGET = 80
"""Characters of a path and query that a line names."""


def _same(at_s: float) -> float:
    """Stand in where one clock is all there is."""
    return at_s


class Quarantine:
    """What all gateways together know of requests under which servers ended.

    A try of a request has a new id, and comes to any gateway: only its content tells that it is the
    same, and only all gateways together see how many servers ended under it. Each tells the others
    of every crash. What was in hand beside the one that is to blame is cleared by its next run that
    ends well; the one to blame has none.

    :param common_s: turns a reading of the clock into one of a clock that all gateways have.
    :ivar refused: refusals so far.
    :ivar refused_innocents: those of requests that a later run cleared.
    :ivar on_news: called when peers are to learn of something soon.
    :ivar on_verdict: called with a request that is refused from now on or no more, where this
        process saw a server end under it, or the run that clears it.
    :ivar on_refusal: called with each request that is refused.
    :ivar on_crash: called with each request under which this process saw a server end.
    """

    def __init__(self, clock: Clock, common_s: Callable[[float], float] = _same) -> None:
        self._clock = clock
        self._common_s = common_s
        self._table = SuspectTable(clock)
        self._served = ServedRequests()
        self._news = SuspectReportQueue(self._table, clock)
        self._refusals: dict[RequestMark, int] = {}
        self._own_crashes: deque[int] = deque(maxlen=2 * MAX_SUSPECTS)
        self.refused = 0
        self.refused_innocents = 0
        self.on_unreported: Callable[[], None] = _nothing
        self.on_status_change: Callable[[Suspect], None] = _ignore
        self.on_refusal: Callable[[Suspect], None] = _ignore
        self.on_crash: Callable[[Suspect], None] = _ignore

    # ---- requests ----

    def has_suspects(self) -> bool:
        """Tell whether there is anything to compare requests with."""
        return len(self._table) > 0

    def is_refused(self, content: RequestContent) -> bool:
        """Tell whether a request must reach no server; counts it if so."""
        return self.refused_for_s(content) > 0

    def refused_for_s(self, content: RequestContent) -> float:
        """Return the seconds for which a request must reach no server; 0: it may. Counts a refusal.

        Of a caller's own request these are the seconds after which it is served if it did not come
        meanwhile.
        """
        now_s = self._clock.now()
        for scope in content.scopes():
            known = self._table.find(scope)
            if known is not None and known.is_refused and not known.may_be_retried(now_s):
                self._note_refusal(known)
                return known.remaining_refusal_s(now_s) if known.is_shared else RETENTION_S
        return 0.0

    def suspect_mark(self, content: RequestContent) -> RequestMark | None:
        """Return the mark, whoever sends it, of a request under which a server ended; None: none
        has since it was served last."""
        known = self._table.find(content.scopes()[-1])
        return known.mark if known is not None and known.crashes else None

    def window_of(self, at_s: float) -> int:
        """Return the slot of a reading of the clock."""
        return window_of(self._common_s(at_s))

    def known_windows(self, content: RequestContent) -> tuple[int, ...]:
        """Return the slots of the last ends that are known of a request, one for each of its
        scopes; NO_SLOT: there is none since it was served last."""
        found = (self._table.find(scope) for scope in content.scopes())
        return tuple(NO_WINDOW if each is None else last_window(each.crashes) for each in found)

    def record_served(self, content: RequestContent) -> None:
        """Note that a server ran a request and lives."""
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
        """Note that a server ended at `at_s` on the clock while it had a request in hand.

        :param known_slots: those of the last ends that were known when the request was sent. It was
            sent after these, so that they and this one do not count as one; empty: none was known.
        """
        common_s = self._common_s(at_s)
        scopes = content.scopes()
        for scope, known_slot in zip(
            scopes, known_windows or (NO_WINDOW,) * len(scopes), strict=True
        ):
            make = make_shared_crash_id if scope.is_shared else make_caller_crash_id
            end = make(common_s, known_slot, server_id)
            self._own_crashes.append(end)
            mark = mark_of(scope)
            known = self._table.get(mark) or _unknown(mark, scope.is_shared)
            if known.is_cleared_since(at_s):
                continue
            changed = known.with_crash(end, at_s)
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
            self._take(known, changed)
            self.on_crash(changed)
        self.on_unreported()

    def remove_expired(self) -> None:
        """Forget what was not seen for long."""
        for each in self._table.remove_expired():
            self._forget(each)

    # ---- peers and store ----

    def merge_suspects(self, notes: Iterable[SuspectRecord]) -> None:
        """Take what a peer or the store says."""
        for note in notes:
            if note.seen_age_s < RETENTION_S:
                self._take_note(note)

    def next_report(self) -> tuple[SuspectRecord, ...]:
        """Return what the next report names; each call counts as one telling."""
        return tuple(self.to_note(each) for each in self._news.next_batch())

    def report_all_again(self) -> None:
        """Have all suspects told once more: a peer is heard that may know none of them."""
        for each in self._table.all():
            if each.crashes:
                self._news.enqueue(each)

    def has_unreported(self) -> bool:
        """Tell whether peers may not know something yet."""
        return self._news.has_pending()

    def get(self, mark: RequestMark) -> Suspect | None:
        """Return what is known of the request of a mark."""
        return self._table.get(mark)

    def to_note(self, suspect: Suspect) -> SuspectRecord:
        """Return what to tell of a suspect now."""
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

    # ---- questions ----

    def count_refused(self) -> int:
        """Return the requests that are refused."""
        return sum(each.is_refused for each in self._table.all())

    def count_watched(self) -> int:
        """Return the requests under which a server ended, and that are not refused."""
        return sum(bool(each.crashes) and not each.is_refused for each in self._table.all())

    # ---- parts ----

    def _note_refusal(self, known: Suspect) -> None:
        self.refused += 1
        self._refusals[known.mark] = self._refusals.get(known.mark, 0) + 1
        self._table.put(known.with_seen(self._clock.now()))
        self.on_refusal(known)

    def _take_note(self, note: SuspectRecord) -> None:
        now_s = self._clock.now()
        mark = RequestMark(note.head, note.body)
        told = Suspect(
            mark,
            note.generation,
            frozenset(note.crashes),
            now_s - note.crashed_age_s,
            now_s - note.seen_age_s,
            note.is_shared,
        )
        known = self._table.get(mark)
        merged = told if known is None else known.merged_with(told)
        if known is not None and _is_same(known, merged):
            self._table.put(merged)
            return
        self._take(known or _unknown(mark, note.is_shared), merged)

    def _take(self, before: Suspect, after: Suspect) -> None:
        """Remember what has changed, and have it told."""
        for dropped in self._table.put(after):
            self._forget(dropped)
        self._news.enqueue(after)
        self._note_verdict(before, after)
        # Word of a crash may come after the run that clears the request: on its way it was served.
        if after.crashes and self._served.last_served_s(after.mark) > after.crashed_s:
            self._clear(after)

    def _clear(self, known: Suspect) -> None:
        cleared = known.cleared(self._clock.now())
        self._take(known, cleared)
        if known.is_refused:
            self.on_status_change(cleared)
        self.on_unreported()

    def _note_verdict(self, before: Suspect, after: Suspect) -> None:
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

    def _forget(self, suspect: Suspect) -> None:
        self._news.remove(suspect.mark)
        self._refusals.pop(suspect.mark, None)
        if suspect.is_refused:
            log_message(message_type="quarantine:forgotten", mark=str(suspect.mark))


def _unknown(mark: RequestMark, is_shared: bool) -> Suspect:
    return Suspect(mark, 0, frozenset(), float("-inf"), float("-inf"), is_shared)


def _is_same(one: Suspect, other: Suspect) -> bool:
    return (one.generation, one.crashes) == (other.generation, other.crashes)


def _nothing() -> None:
    """Stand in until somebody wants to know."""


def _ignore(suspect: Suspect) -> None:
    """Stand in until somebody wants to know."""
