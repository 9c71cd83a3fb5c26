"""Follows one table of the row store."""

import asyncio
from collections.abc import Callable, Sequence

from eliot import log_message
from result import Err, Result

from indigoworks.common.clock import Clock
from indigoworks.rowstore.errors import EraEnded, HistoryGone, StoreError
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion
from indigoworks.rowstore.table_part import TablePart

RETRY_DELAY_S = 0.1
"""Delay after the first failed call."""

MAX_RETRY_DELAY_S = 0.4
"""Longest delay between failed calls."""

LARGE_RESPONSE_BYTES = 32 * 1024
"""Size of values from which a response is logged: it takes a 5 Mbit/s link 0.05 s and more. At most
a few such responses arrive each second."""


class TableFollower:
    """Reads all rows of a part of a table, then follows the table's feed, until cancelled.

    All rows are read again when the feed's history is gone, when the store was restored from a
    copy, and when a reread is requested.

    :param part: returns the part to follow; a changed part applies from the next full read on.
    :param on_all: called with all rows of a full read.
    :param on_changes: called with the changed rows of a feed call.
    :param wait_s: returns the longest wait of the next feed call, in seconds.
    :param on_proof: called with the clock reading at which the rows were certainly the newest.
    :param on_failure: called after each failed call.
    :param pace_s: returns the shortest time in seconds from rows of the feed to its next call, so
        that rows which arrive one by one cost fewer calls. The wait is shorter by as much, so that
        a lost response is detected as soon as without it.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        part: Callable[[], TablePart],
        wait_s: Callable[[], float],
        clock: Clock,
        on_all: Callable[[Sequence[Row]], None],
        on_changes: Callable[[Sequence[Row]], None],
        on_proof: Callable[[float], None] | None = None,
        on_failure: Callable[[], None] | None = None,
        pace_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._table = table
        self._part = part
        self._wait_s = wait_s
        self._clock = clock
        self._on_all = on_all
        self._on_changes = on_changes
        self._on_proof = on_proof
        self._on_failure = on_failure
        self._pace_s = pace_s
        self._rows_received_s = float("-inf")
        self._version: StoreVersion | None = None
        self._failures = 0
        self._reread_requested = asyncio.Event()

    @property
    def version(self) -> StoreVersion:
        """Return the version of the store up to which all rows were received."""
        return self._version or NO_VERSION

    def request_reread(self) -> None:
        """Read all rows again, as the response of the feed may be lost or slow.

        The read runs beside the pending feed call, and the first response of the two is used. A
        feed that is far behind returns every version of a row, a full read only the newest; and a
        transfer in progress is not aborted before there is a better response.
        """
        self._reread_requested.set()

    async def run(self) -> None:
        """Follow the table until cancelled; a further call begins with a full read."""
        self._version = None
        while True:
            error = await self._step()
            if error is None:
                self._failures = 0
                continue
            if isinstance(error, (HistoryGone, EraEnded)):
                log_message(message_type="store:history_gone", table=self._table, reason=error.kind)
                self._version = None
                if isinstance(error, HistoryGone) or self._failures == 0:
                    # Delay the calls to a store that still responds in an era before the known one.
                    self._failures += isinstance(error, EraEnded)
                    continue
            self._failures += 1
            if self._on_failure is not None:
                self._on_failure()
            await self._clock.sleep(min(RETRY_DELAY_S * self._failures, MAX_RETRY_DELAY_S))

    async def _step(self) -> StoreError | None:
        if self._version is None:
            return self._apply_read(await self._read())
        self._reread_requested.clear()
        feed = asyncio.ensure_future(self._feed(self._version))
        whole = asyncio.ensure_future(self._read_when_requested())
        try:
            await asyncio.wait({feed, whole}, return_when=asyncio.FIRST_COMPLETED)
            if whole.done():
                return self._apply_read(whole.result())
            return self._apply_changes(feed.result())
        finally:
            feed.cancel()
            whole.cancel()

    async def _feed(self, after: StoreVersion) -> Result[Rows, StoreError]:
        """Request changed rows, after the delay that `pace_s` asks for."""
        delay_s = max(0.0, self._rows_received_s + self._pace_s() - self._clock.now())
        if delay_s > 0:
            await self._clock.sleep(delay_s)
        wait_s = max(0.0, self._wait_s() - delay_s)
        sent_s = self._clock.now()
        result = await self._store.follow(self._table, after, wait_s)
        self._log_if_large("changes", sent_s, result)
        return result

    async def _read(self) -> tuple[TablePart, Result[Rows, StoreError]]:
        """Return the result of a full read, and the part that was read."""
        sent_s = self._clock.now()
        part = self._part()
        result = await self._store.read(self._table, part)
        self._log_if_large("whole", sent_s, result)
        return part, result

    def _log_if_large(self, call: str, sent_s: float, result: Result[Rows, StoreError]) -> None:
        """Log the transfer time of a large response, since it delays requests on the link."""
        if isinstance(result, Err):
            return
        response = result.unwrap()
        value_bytes = sum(len(each.value) for each in response.rows)
        if value_bytes < LARGE_RESPONSE_BYTES:
            return
        now_s = self._clock.now()
        log_message(
            message_type="feed:large_answer",
            table=self._table,
            call=call,
            rows=len(response.rows),
            value_bytes=value_bytes,
            asked_ago_s=round(now_s - sent_s, 3),
            true_ago_s=round(now_s - response.as_of_s, 3),
        )

    async def _read_when_requested(self) -> tuple[TablePart, Result[Rows, StoreError]]:
        """Return a full read, once one is requested during this feed call and succeeds."""
        await self._reread_requested.wait()
        failures = 0
        while (read := await self._read())[1].is_err():
            failures += 1
            await self._clock.sleep(min(RETRY_DELAY_S * failures, MAX_RETRY_DELAY_S))
        return read

    def _apply_changes(self, result: Result[Rows, StoreError]) -> StoreError | None:
        if isinstance(result, Err):
            return result.unwrap_err()
        response = result.unwrap()
        if response.rows:
            self._rows_received_s = self._clock.now()
        if response.is_whole:
            return self._apply_all(result)
        part = self._part().name
        rows = [row for row in response.rows if row.part == part]
        if rows:
            self._on_changes(rows)
        self._record_version(response)
        return None

    def _apply_read(self, read: tuple[TablePart, Result[Rows, StoreError]]) -> StoreError | None:
        part, result = read
        if part != self._part():
            # An era may begin between the response and this turn of the event loop.
            return EraEnded("The part that was read is no longer followed.", "Read the new part.")
        return self._apply_all(result)

    def _apply_all(self, result: Result[Rows, StoreError]) -> StoreError | None:
        if isinstance(result, Err):
            return result.unwrap_err()
        response = result.unwrap()
        self._on_all(response.rows)
        self._record_version(response)
        return None

    def _record_version(self, response: Rows) -> None:
        self._version = max(self.version, response.version)
        if self._on_proof is not None:
            self._on_proof(response.as_of_s)
