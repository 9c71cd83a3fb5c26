"""Following one table of the row store."""

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

RETRY_S = 0.1
"""Pause after the first call that failed."""

MAX_RETRY_S = 0.4
"""Longest pause between calls that fail."""

LARGE_ANSWER_BYTES = 32 * 1024
"""Answers whose values are that large are logged: a link of 5 Mbit/s carries them for 0.05 s and
more. At most a few come each second."""


class TableFollower:
    """Reads a part of a table whole, then follows the table's feed; one task, for ever.

    The part is read whole again after a feed whose history is gone, when the store has come back
    from a copy, and when the follower is told to ask anew.

    :param part: returns the part to follow; another one from the next whole reading on.
    :param on_all: called with all rows of a whole reading.
    :param on_changes: called with the changed rows of a step of the feed.
    :param wait_s: longest wait of the next step of the feed, in seconds.
    :param on_proof: called with the clock reading at which the store's word was certainly true.
    :param on_failure: called after each call that failed.
    :param pace_s: returns the shortest time from rows of the feed to its next call, in seconds, so
        that rows which come one by one cost fewer calls. The wait is shorter by as much: a lost
        answer is noticed as soon as without it.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        part: Callable[[], str],
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
        self._rows_came_s = float("-inf")
        self._version: StoreVersion | None = None
        self._failures = 0
        self._doubted = asyncio.Event()

    @property
    def version(self) -> StoreVersion:
        """Return the version of the store up to which all rows are known here."""
        return self._version or NO_VERSION

    def request_reread(self) -> None:
        """Ask anew: the answer that is waited for may be lost, or long in coming.

        The part is read whole beside the step of the feed that is under way; the first answer of
        the two counts. A feed that is far behind brings every version of a row, a whole reading the
        newest alone; and a transfer that is under way is not thrown away before there is better.
        """
        self._doubted.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            error = await self._step()
            if error is None:
                self._failures = 0
                continue
            if isinstance(error, (HistoryGone, EraEnded)):
                log_message(message_type="store:history_gone", table=self._table, reason=error.kind)
                self._version = None
                if isinstance(error, HistoryGone) or self._failures == 0:
                    # A store that goes on answering in an earlier era than peers name is paced.
                    self._failures += isinstance(error, EraEnded)
                    continue
            self._failures += 1
            if self._on_failure is not None:
                self._on_failure()
            await self._clock.sleep(min(RETRY_S * self._failures, MAX_RETRY_S))

    async def _step(self) -> StoreError | None:
        if self._version is None:
            return self._take_whole(await self._read())
        self._doubted.clear()
        feed = asyncio.ensure_future(self._feed(self._version))
        whole = asyncio.ensure_future(self._read_when_doubted())
        try:
            await asyncio.wait({feed, whole}, return_when=asyncio.FIRST_COMPLETED)
            if whole.done():
                return self._take_whole(whole.result())
            return self._take_step(feed.result())
        finally:
            feed.cancel()
            whole.cancel()

    async def _feed(self, after: StoreVersion) -> Result[Rows, StoreError]:
        """Ask for changed rows, after the pause that is due."""
        pause_s = max(0.0, self._rows_came_s + self._pace_s() - self._clock.now())
        if pause_s > 0:
            await self._clock.sleep(pause_s)
        wait_s = max(0.0, self._wait_s() - pause_s)
        asked_s = self._clock.now()
        result = await self._store.follow(self._table, after, wait_s)
        self._log_if_large("changes", asked_s, result)
        return result

    async def _read(self) -> Result[Rows, StoreError]:
        asked_s = self._clock.now()
        result = await self._store.read(self._table, self._part())
        self._log_if_large("whole", asked_s, result)
        return result

    def _log_if_large(self, call: str, asked_s: float, result: Result[Rows, StoreError]) -> None:
        """Say how long a large answer was on its way: links carry it at the cost of requests."""
        if isinstance(result, Err):
            return
        answer = result.unwrap()
        value_bytes = sum(len(each.value) for each in answer.rows)
        if value_bytes < LARGE_ANSWER_BYTES:
            return
        now_s = self._clock.now()
        log_message(
            message_type="feed:large_answer",
            table=self._table,
            call=call,
            rows=len(answer.rows),
            value_bytes=value_bytes,
            asked_ago_s=round(now_s - asked_s, 3),
            true_ago_s=round(now_s - answer.as_of_s, 3),
        )

    async def _read_when_doubted(self) -> Result[Rows, StoreError]:
        """Return a whole reading, once this step of the feed is doubted and a reading succeeds."""
        await self._doubted.wait()
        failures = 0
        while isinstance(result := await self._read(), Err):
            failures += 1
            await self._clock.sleep(min(RETRY_S * failures, MAX_RETRY_S))
        return result

    def _take_step(self, result: Result[Rows, StoreError]) -> StoreError | None:
        if isinstance(result, Err):
            return result.unwrap_err()
        answer = result.unwrap()
        if answer.rows:
            self._rows_came_s = self._clock.now()
        if answer.is_whole:
            return self._take_whole(result)
        part = self._part()
        rows = [row for row in answer.rows if row.part == part]
        if rows:
            self._on_changes(rows)
        self._note(answer)
        return None

    def _take_whole(self, result: Result[Rows, StoreError]) -> StoreError | None:
        if isinstance(result, Err):
            return result.unwrap_err()
        answer = result.unwrap()
        self._on_all(answer.rows)
        self._note(answer)
        return None

    def _note(self, answer: Rows) -> None:
        self._version = max(self.version, answer.version)
        if self._on_proof is not None:
            self._on_proof(answer.as_of_s)
