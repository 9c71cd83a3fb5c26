"""Rows of the simulated store."""

import asyncio
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from indigoworks.rowstore.errors import ConditionFailed, HistoryGone, StoreError
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.transaction import Transaction

RowId = tuple[str, str, str]
"""Table, part and key."""


@dataclass(frozen=True, slots=True)
class RowState:
    """Rows as of one version."""

    rows: tuple[Row, ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class RowsCopy:
    """All that the rows were at one moment, from which the store may come back."""

    version: StoreVersion
    rows: dict[RowId, Row]
    history: tuple[Row, ...]
    first_known: int


class MemoryRows:
    """Versioned rows: transactions all or nothing, one counter, a feed with a history.

    :ivar era: how often they have come back from a copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self._counter = 0
        self._rows: dict[RowId, Row] = {}
        self._history: list[Row] = []
        self._first_known = 0
        self._changed = asyncio.Event()

    @property
    def version(self) -> StoreVersion:
        """Return the newest version."""
        return StoreVersion(self.era, self._counter)

    def row(self, table: str, part: str, key: str) -> Row | None:
        """Return a row; None where there is none."""
        return self._rows.get((table, part, key))

    def all_rows(self) -> tuple[Row, ...]:
        """Return all rows."""
        return tuple(self._rows.values())

    def read(self, table: str, part: str) -> RowState:
        """Return one part of a table, by key."""
        rows = [each for each in self._rows.values() if (each.table, each.part) == (table, part)]
        return RowState(tuple(sorted(rows, key=lambda each: each.key)), self.version)

    def changes(self, table: str, after: StoreVersion) -> Result[RowState, StoreError]:
        """Return the rows of a table that changed after a version, in order."""
        if not self._first_known <= after.counter <= self._counter:
            return Err(HistoryGone("The history is gone.", "Read the table whole."))
        newest: dict[RowId, Row] = {}
        for row in reversed(self._history):
            if row.version.counter <= after.counter:
                break
            if row.table == table:
                newest.setdefault((row.table, row.part, row.key), row)
        rows = sorted(newest.values(), key=lambda each: each.version)
        return Ok(RowState(tuple(rows), self.version))

    async def wait_for_change(self, table: str, after: StoreVersion, wait_s: float) -> None:
        """Wait until a row of the table changes after a version, at most `wait_s` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    answer = self.changes(table, after)
                    if isinstance(answer, Err) or answer.unwrap().rows:
                        return
                    await self._changed.wait()
        except TimeoutError:
            pass

    def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Make a transaction where its conditions hold."""
        for each in transaction.expected:
            row = self._rows.get((each.table, transaction.part, each.key))
            if (0 if row is None else row.version.counter) != each.version.counter:
                return Err(ConditionFailed("A row has changed.", "Read it and decide again."))
        self._counter += 1
        for put in transaction.puts:
            row = Row(put.table, transaction.part, put.key, put.value, self.version)
            self._keep(row)
        self._wake()
        return Ok(self.version)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row of the empty part, as servers and operators do."""
        self._counter += 1
        self._keep(Row(table, "", key, value, self.version))
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Take a row of the empty part out."""
        if self._rows.pop((table, "", key), None) is None:
            return
        self._counter += 1
        self._history.append(Row(table, "", key, b"", self.version, True))
        self._wake()

    def forget_history(self) -> None:
        """Lose the history: feeds from earlier versions fail."""
        self._history = []
        self._first_known = self._counter
        self._wake()

    def copy(self) -> RowsCopy:
        """Return a copy of all that is kept now."""
        return RowsCopy(self.version, dict(self._rows), tuple(self._history), self._first_known)

    def return_to(self, copy: RowsCopy) -> None:
        """Lose all that was written since the copy was made; its versions are given out again."""
        self.era += 1
        self._counter = copy.version.counter
        self._rows = {key: self._as_of_now(row) for key, row in copy.rows.items()}
        self._history = [self._as_of_now(row) for row in copy.history]
        self._first_known = copy.first_known
        self._wake()

    def _as_of_now(self, row: Row) -> Row:
        """Return a row as it is read in this era."""
        return replace(row, version=StoreVersion(self.era, row.version.counter))

    def _keep(self, row: Row) -> None:
        self._rows[(row.table, row.part, row.key)] = row
        self._history.append(row)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
