"""Row store client with metrics."""

from typing import Any

from result import Err, Result

from indigoworks.common.clock import Clock
from indigoworks.common.metrics import Metrics
from indigoworks.gateway.call_metrics import CallMetrics
from indigoworks.rowstore.errors import StoreError
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import Transaction


class InstrumentedStore:
    """Forwards calls to `store`, and records count and duration; implements `RowStore`.

    The outcome label is "done" or the kind of the error. A poll of a feed is cancelled when its
    path may have failed; the duration of a poll includes its wait for changes.
    """

    def __init__(self, store: RowStore, metrics: Metrics, clock: Clock) -> None:
        self._store = store
        self._calls = CallMetrics(
            metrics, clock, "gateway_store_call", "Calls to the row store", "call"
        )

    async def read(self, table: str, part: TablePart) -> Result[Rows, StoreError]:
        """Read one part of a table completely."""
        return await self._calls.observe("read", self._store.read(table, part), _outcome)

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Wait for changed rows of a table."""
        answer = self._store.follow(table, after, wait_s)
        return await self._calls.observe("follow", answer, _outcome)

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Commit a transaction."""
        return await self._calls.observe("commit", self._store.commit(transaction), _outcome)


def _outcome(result: Result[Any, StoreError]) -> str:
    return result.unwrap_err().kind if isinstance(result, Err) else "done"
