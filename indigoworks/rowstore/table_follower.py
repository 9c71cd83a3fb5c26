"""Following one table of the row store."""

import asyncio
from collections.abc import Callable, Sequence

from eliot import log_message
from result import Err

from indigoworks.common.clock import Clock
from indigoworks.rowstore.errors import HistoryGone, StoreError
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.row_store import RowStore

RETRY_S = 0.1
"""Pause after the first call that failed."""

MAX_RETRY_S = 0.4
"""Longest pause between calls that fail."""


class TableFollower:
    """Reads a part of a table whole, then follows the table's feed; one task, for ever.

    After a feed whose history is gone the part is read whole again.

    :param on_all: called with all rows of a whole reading.
    :param on_changes: called with the changed rows of a step of the feed.
    :param wait_s: longest wait of the next step of the feed, in seconds.
    :param on_proof: called with the clock reading at which the store's word was certainly true.
    :param on_failure: called after each call that failed.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        part: str,
        wait_s: Callable[[], float],
        clock: Clock,
        on_all: Callable[[Sequence[Row]], None],
        on_changes: Callable[[Sequence[Row]], None],
        on_proof: Callable[[float], None] | None = None,
        on_failure: Callable[[], None] | None = None,
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
        self._version: int | None = None
        self._failures = 0
        self._call: asyncio.Future[StoreError | None] | None = None

    def restart_call(self) -> None:
        """Break the call that is under way off and ask anew: its path may be gone."""
        if self._call is not None:
            self._call.cancel()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        try:
            await self._follow()
        finally:
            self.restart_call()

    async def _follow(self) -> None:
        while True:
            self._call = asyncio.ensure_future(self._step())
            await asyncio.wait({self._call})
            if self._call.cancelled():
                continue
            error = self._call.result()
            if error is None:
                self._failures = 0
                continue
            if isinstance(error, HistoryGone):
                log_message(message_type="store:history_gone", table=self._table)
                self._version = None
                continue
            self._failures += 1
            if self._on_failure is not None:
                self._on_failure()
            await self._clock.sleep(min(RETRY_S * self._failures, MAX_RETRY_S))

    async def _step(self) -> StoreError | None:
        if self._version is None:
            return await self._read_whole()
        result = await self._store.follow(self._table, self._version, self._wait_s())
        if isinstance(result, Err):
            return result.unwrap_err()
        answer = result.unwrap()
        rows = [row for row in answer.rows if row.part == self._part]
        if rows:
            self._on_changes(rows)
        self._version = max(self._version, answer.version)
        self._note_proof(answer.true_at_s)
        return None

    async def _read_whole(self) -> StoreError | None:
        result = await self._store.read(self._table, self._part)
        if isinstance(result, Err):
            return result.unwrap_err()
        answer = result.unwrap()
        self._on_all(answer.rows)
        self._version = answer.version
        self._note_proof(answer.true_at_s)
        return None

    def _note_proof(self, true_at_s: float) -> None:
        if self._on_proof is not None:
            self._on_proof(true_at_s)
