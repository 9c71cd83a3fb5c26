"""Storage of refused requests in rows of the store."""

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
"""Prefix of row keys; the row number follows."""

ROW_COUNT = 64
"""Fixed number of rows, so that rows need not be removed. Requests whose marks map to the same row
overwrite each other there; running gateways still know all of them."""

RETRY_INTERVAL_S = 1.0
"""Pause after a failed write; peers learn of the request from reports meanwhile."""

MAX_PENDING_WRITES = ROW_COUNT
"""Most pending writes; requests beyond that are only reported to peers."""

REFRESH_AGE_S = RETENTION_S / 2
"""Age after which the row of a request that is still being refused is written again, so that it has
not expired when all gateways restart."""

MS_PER_S = 1000.0

MakeTransaction = Callable[[Sequence[ExpectedVersion], Sequence[RowPut]], Transaction]
"""Creates a transaction from conditions and writes."""


class QuarantineRows:
    """Writes refused requests to the store, and merges rows that other gateways wrote.

    Reports between peers do not survive a restart of all gateways and do not reach a partitioned
    gateway; rows do. Gateways that detected a crash write once when a request becomes refused and
    once when it is cleared. While a gateway may be partitioned it also writes single crashes:
    otherwise the sides of a partition could each see two crashes and none count three. With 8
    gateways without contact, ten attempts of a request could crash ten servers instead of three.

    Ages refer to the store's steady clock, so a row read after a restart has its true age.

    :param make_transaction: returns a transaction in the part of the store's current era.
    :param is_partitioned: returns whether peers may not receive reports of this process.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        store: RowStore,
        health: StoreHealth,
        table: str,
        make_transaction: MakeTransaction,
        clock: Clock,
        is_partitioned: Callable[[], bool],
    ) -> None:
        self._is_partitioned = is_partitioned
        self._quarantine = quarantine
        self._store = store
        self._health = health
        self._table = table
        self._make_transaction = make_transaction
        self._clock = clock
        self._pending: dict[RequestMark, None] = {}
        self._written_s: dict[int, float] = {}
        self._stored: dict[int, RequestMark] = {}
        self._own: set[RequestMark] = set()
        self._has_work = asyncio.Event()
        health.eras.on_new(self._handle_new_era)

    def _handle_new_era(self) -> None:
        """Schedule this gateway's rows to be written again: the store lost those of the last era.

        Rows of gateways that have stopped are written again at the next refusal by any gateway.
        """
        self._written_s.clear()
        self._stored.clear()
        for mark in self._own:
            suspect = self._quarantine.get(mark)
            if suspect is not None:
                self.schedule_write(suspect)

    def schedule_write(self, suspect: Suspect) -> None:
        """Schedule a write of what is known about a request."""
        if len(self._pending) < MAX_PENDING_WRITES:
            self._pending[suspect.mark] = None
            self._has_work.set()

    def handle_crash(self, suspect: Suspect) -> None:
        """Schedule a write for a request not yet refused, if peers may not receive reports."""
        if (
            not suspect.is_refused
            and self._is_partitioned()
            and not self._is_row_in_use(suspect.mark)
        ):
            self.schedule_write(suspect)

    def _is_row_in_use(self, mark: RequestMark) -> bool:
        """Return whether the row of a mark holds another request that is refused."""
        other = self._stored.get(_row_number(mark))
        known = None if other is None or other == mark else self._quarantine.get(other)
        return known is not None and known.is_refused

    def handle_refusal(self, suspect: Suspect) -> None:
        """Schedule another write for a refused request whose row is old."""
        written_s = self._written_s.get(_row_number(suspect.mark), float("-inf"))
        if self._clock.now() - written_s > REFRESH_AGE_S:
            self.schedule_write(suspect)

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Merge rows of the store; other kinds of rows are ignored."""
        records = [self._to_record(row) for row in rows if row.key.startswith(ROW_PREFIX)]
        self._quarantine.merge_suspects(each for each in records if each is not None)

    async def run(self) -> None:
        """Run pending writes until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            while self._pending:
                if not await self._write(next(iter(self._pending))):
                    await self._clock.sleep(RETRY_INTERVAL_S)

    async def _write(self, mark: RequestMark) -> bool:
        """Write the current state of a request to its row; return False if the store failed."""
        suspect = self._quarantine.get(mark)
        if suspect is None:
            del self._pending[mark]
            self._own.discard(mark)
            return True
        stored = StoredSuspect(
            self._quarantine.to_record(suspect), self._health.to_store_ms(self._clock.now())
        )
        put = RowPut(self._table, _row_key(mark), encode_stored(stored))
        if isinstance(await self._store.commit(self._make_transaction((), (put,))), Err):
            return False
        self._record_stored(mark, self._clock.now())
        self._own.add(mark)
        written = self._quarantine.get(mark)
        if written is None or written.crashes == suspect.crashes:
            # Otherwise it changed during the write and is written again.
            del self._pending[mark]
        return True

    def _to_record(self, row: Row) -> SuspectRecord | None:
        """Return the content of a row with its ages as of now, or None."""
        stored = decode_stored(row.value)
        if row.is_removed or stored is None:
            return None
        now_ms = self._health.to_store_ms(self._clock.now())
        age_s = max(0, now_ms - stored.store_ms) / MS_PER_S if now_ms and stored.store_ms else 0.0
        record = stored.record
        self._record_stored(RequestMark(record.head, record.body), self._clock.now() - age_s)
        return replace(
            record,
            crashed_age_s=record.crashed_age_s + age_s,
            seen_age_s=record.seen_age_s + age_s,
        )

    def _record_stored(self, mark: RequestMark, at_s: float) -> None:
        self._written_s[_row_number(mark)] = at_s
        self._stored[_row_number(mark)] = mark


def _row_number(mark: RequestMark) -> int:
    return mark.head % ROW_COUNT


def _row_key(mark: RequestMark) -> str:
    return f"{ROW_PREFIX}{_row_number(mark)}"
