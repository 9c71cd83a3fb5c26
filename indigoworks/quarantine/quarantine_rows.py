"""Refused requests in rows of the store."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from result import Err

from indigoworks.common.clock import Clock
from indigoworks.exchange.stored_suspect import StoredSuspect
from indigoworks.exchange.suspect_codec import decode_stored, encode_stored
from indigoworks.exchange.suspect_record import SuspectRecord
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.quarantine.suspect import Suspect
from indigoworks.quarantine.suspect_table import RETENTION_S
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.transaction import ExpectedVersion, RowPut, Transaction

ROW_PREFIX = "quarantine/"
"""Keys of these rows, before the number of the row."""

ROWS = 64
"""Rows that there may be. Requests whose marks fall on the same one replace each other there, and
are still known to all gateways that live; rows need not be removed that way."""

RETRY_S = 1.0
"""Pause after a write that failed; the peers know it already."""

MAX_WANTED = ROWS
"""Writes that wait at most; what comes beyond that is told to the peers alone."""

REFRESH_S = RETENTION_S / 2
"""The row of a request that still comes is written again after so long, so that a restart of all
gateways finds it young enough."""

MS_PER_S = 1000.0

MakeTransaction = Callable[[Sequence[ExpectedVersion], Sequence[RowPut]], Transaction]
"""Makes a transaction of conditions and writes."""


class QuarantineRows:
    """Writes verdicts to the store, and takes those that others wrote.

    Peers that tell each other forget all when all are started again at once, and who is cut off
    from its peers hears nothing: a row reaches both. There is one write for a verdict, of the
    gateways that saw a crash, and one for the end of it. While a gateway does not hear all its
    peers it writes of single crashes, too: of two sides of a cut that each saw two servers end,
    neither would know of three (8 gateways that hear no other, ten tries: ten servers ended under
    one request, and three with these writes; simulated).

    :param make_transaction: returns a transaction in the part of the store's current era.
    :param is_cut: tells whether peers may not hear this process.

    Ages are told in the time of the store's steady clock, so that a row that is read after a
    restart is as old as it is.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        store: RowStore,
        health: StoreHealth,
        table: str,
        make_transaction: MakeTransaction,
        clock: Clock,
        is_cut: Callable[[], bool],
    ) -> None:
        self._is_cut = is_cut
        self._quarantine = quarantine
        self._store = store
        self._health = health
        self._table = table
        self._make_transaction = make_transaction
        self._clock = clock
        self._wanted: dict[RequestMark, None] = {}
        self._written_s: dict[int, float] = {}
        self._stored: dict[int, RequestMark] = {}
        self._own: set[RequestMark] = set()
        self._has_work = asyncio.Event()
        health.eras.on_new(self._begin_era)

    def _begin_era(self) -> None:
        """Have the own rows written again: the store has lost all of the former era.

        Rows of gateways that have ended come again with the next refusal anywhere.
        """
        self._written_s.clear()
        self._stored.clear()
        for mark in self._own:
            suspect = self._quarantine.get(mark)
            if suspect is not None:
                self.schedule_write(suspect)

    def schedule_write(self, suspect: Suspect) -> None:
        """Have written what is known of a request."""
        if len(self._wanted) < MAX_WANTED:
            self._wanted[suspect.mark] = None
            self._has_work.set()

    def handle_crash(self, suspect: Suspect) -> None:
        """Have written of a request that is not refused yet, if peers may not hear of it."""
        if not suspect.is_refused and self._is_cut() and not self._is_taken(suspect.mark):
            self.schedule_write(suspect)

    def _is_taken(self, mark: RequestMark) -> bool:
        """Tell whether the row of a mark holds another request that is refused."""
        other = self._stored.get(_number(mark))
        known = None if other is None or other == mark else self._quarantine.get(other)
        return known is not None and known.is_refused

    def handle_refusal(self, suspect: Suspect) -> None:
        """Have the row of a request written again that is refused and that is old."""
        written_s = self._written_s.get(_number(suspect.mark), float("-inf"))
        if self._clock.now() - written_s > REFRESH_S:
            self.schedule_write(suspect)

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Take rows; those of other kinds are passed over."""
        notes = [self._note_of(row) for row in rows if row.key.startswith(ROW_PREFIX)]
        self._quarantine.merge_suspects(each for each in notes if each is not None)

    async def run(self) -> None:
        """Write what is wanted until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            while self._wanted:
                if not await self._write(next(iter(self._wanted))):
                    await self._clock.sleep(RETRY_S)

    async def _write(self, mark: RequestMark) -> bool:
        """Write the row of a request as it is known now; False where the store did not take it."""
        suspect = self._quarantine.get(mark)
        if suspect is None:
            del self._wanted[mark]
            self._own.discard(mark)
            return True
        stored = StoredSuspect(
            self._quarantine.to_note(suspect), self._health.to_store_ms(self._clock.now())
        )
        put = RowPut(self._table, _key(mark), encode_stored(stored))
        if isinstance(await self._store.commit(self._make_transaction((), (put,))), Err):
            return False
        self._note_stored(mark, self._clock.now())
        self._own.add(mark)
        written = self._quarantine.get(mark)
        if written is None or written.crashes == suspect.crashes:
            # Otherwise it has changed meanwhile, and is written once more.
            del self._wanted[mark]
        return True

    def _note_of(self, row: Row) -> SuspectRecord | None:
        """Return what a row says, with its ages as of now."""
        stored = decode_stored(row.value)
        if row.is_removed or stored is None:
            return None
        now_ms = self._health.to_store_ms(self._clock.now())
        age_s = max(0, now_ms - stored.store_ms) / MS_PER_S if now_ms and stored.store_ms else 0.0
        note = stored.record
        self._note_stored(RequestMark(note.head, note.body), self._clock.now() - age_s)
        return replace(
            note,
            crashed_age_s=note.crashed_age_s + age_s,
            seen_age_s=note.seen_age_s + age_s,
        )

    def _note_stored(self, mark: RequestMark, at_s: float) -> None:
        self._written_s[_number(mark)] = at_s
        self._stored[_number(mark)] = mark


def _number(mark: RequestMark) -> int:
    return mark.head % ROWS


def _key(mark: RequestMark) -> str:
    return f"{ROW_PREFIX}{_number(mark)}"
