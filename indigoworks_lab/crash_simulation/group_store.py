"""The store's rows of the group of gateways."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from indigoworks.rowstore.errors import ConditionFailed, StoreError, StoreUnreachable
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.table_part import UNDIVIDED, TablePart
from indigoworks.rowstore.transaction import ABSENT, Transaction

COMMIT_S = 0.005


class GroupStore:
    """Implements `RowStore` for one part; hands each new row to `on_row`.

    :ivar feed_s: time after which it is handed on.
    :ivar is_down: no call is answered, and none is carried out.
    """

    def __init__(self, on_row: Callable[[Row], None]) -> None:
        self.rows: dict[str, Row] = {}
        self.is_down = False
        self.commits = 0
        self.feed_s = 0.0
        self._version = StoreVersion(0, 0)
        self._on_row = on_row

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row."""
        self._version = StoreVersion(0, self._version.counter + 1)
        self.rows[key] = Row(table, part, key, value, self._version)
        if self.feed_s:
            asyncio.get_running_loop().call_later(self.feed_s, self._on_row, self.rows[key])
        else:
            self._on_row(self.rows[key])

    async def read(self, table: str, part: TablePart) -> Result[Rows, StoreError]:
        """Return all rows."""
        await asyncio.sleep(COMMIT_S)
        now_s = asyncio.get_running_loop().time()
        return Ok(Rows(tuple(self.rows.values()), self._version, now_s, is_whole=True))

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Return all rows: the simulation hands changes on itself."""
        return await self.read(table, UNDIVIDED)

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Make a transaction if its conditions hold."""
        self.commits += 1
        await asyncio.sleep(COMMIT_S)
        if self.is_down:
            return Err(StoreUnreachable("The store is down.", "Try again later."))
        for expected in transaction.expected:
            if self._version_of(expected.key) != expected.version:
                return Err(ConditionFailed("A row has changed.", "Read it again."))
        for put in transaction.puts:
            self.put(put.table, transaction.part, put.key, put.value)
        return Ok(self._version)

    def _version_of(self, key: str) -> StoreVersion:
        return self.rows[key].version if key in self.rows else ABSENT
