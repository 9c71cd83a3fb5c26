"""The port to the row store, as one node uses it."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from typing import Any, Protocol, TypeVar

from result import Err, Ok, Result

from indigoworks.common.clock import Clock
from indigoworks.rowstore.errors import (
    EraEnded,
    HistoryGone,
    StoreError,
    StoreRefused,
    StoreUnreachable,
)
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import Transaction
from indigoworks_lab.control_simulation.memory_rows import RowState
from indigoworks_lab.control_simulation.simulated_store import SimulatedStore, StoreAnswer

CALL_TIMEOUT_S = 1.0
SLOW_CALL_S = 0.2
"""Both as in the adapter to the platform's store, where they end with an answer's headers. Answers
come in one piece here: the adapter's limits on the rest of an answer never bind."""

REMEDY = "Wait."

ResultT = TypeVar("ResultT")


class StoreWatcher(Protocol):
    """Told what passed between a node and the store."""

    def answered(self, boot: str, made_s: float) -> None:
        """An answer that was made at `made_s` reached the process."""
        ...

    def committing(self, boot: str, transaction: Transaction) -> None:
        """A transaction reached the store and is tried now."""
        ...

    def committed(self) -> None:
        """That transaction was tried."""
        ...

    def acknowledged(self, transaction: Transaction, version: StoreVersion) -> None:
        """A process was told that its transaction was made."""
        ...


class NodeStore:
    """Implements `RowStore`; notes the health as the platform's adapter does."""

    def __init__(
        self,
        node: str,
        boot: str,
        store: SimulatedStore,
        health: StoreHealth,
        clock: Clock,
        watcher: StoreWatcher,
        run_outside: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._node = node
        self._boot = boot
        self._store = store
        self._health = health
        self._clock = clock
        self._watcher = watcher
        self._run_outside = run_outside

    async def read(self, table: str, part: TablePart) -> Result[Rows, StoreError]:
        """Read one part of a table whole."""

        async def operation() -> Result[RowState, StoreError]:
            return Ok(self._store.rows.read(table, part.name))

        if not part.is_valid_in(self._health.eras.current):
            return Err(_era_ended())
        result = _rows(await self._call("read", operation, 0.0, False))
        return result.map(lambda rows: _of_part(rows, part))

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Wait for changed rows of a table."""
        if after.era != self._health.eras.current:
            return Err(HistoryGone("The store has come back from a copy.", REMEDY))

        async def operation() -> Result[RowState, StoreError]:
            await self._store.rows.wait_for_change(table, after, wait_s)
            return self._store.rows.changes(table, after)

        return _rows(await self._call("feed", operation, wait_s, False))

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Make a transaction."""
        if not transaction.is_valid_in(self._health.eras.current):
            return Err(_era_ended())

        async def operation() -> Result[StoreVersion, StoreError]:
            self._watcher.committing(self._boot, transaction)
            result = self._store.rows.commit(transaction)
            self._watcher.committed()
            return result

        result = await self._call("transaction", operation, 0.0, True)
        if isinstance(result, Err):
            return result
        version, _ = result.unwrap()
        self._watcher.acknowledged(transaction, version)
        return Ok(version)

    async def _call(
        self,
        name: str,
        operation: Callable[[], Awaitable[Result[ResultT, StoreError]]],
        wait_s: float,
        is_write: bool,
    ) -> Result[tuple[ResultT, float], StoreError]:
        sent_s = self._clock.now()
        eras = self._health.eras
        asked_in = eras.current if eras.is_known else None
        future: asyncio.Future[StoreAnswer[Result[ResultT, StoreError]]]
        future = asyncio.get_running_loop().create_future()
        self._run_outside(self._store.carry(self._node, operation, is_write, future))
        try:
            async with asyncio.timeout(wait_s + CALL_TIMEOUT_S):
                answer = await future
        except TimeoutError:
            self._health.record_trouble(name, "unreachable")
            return Err(StoreUnreachable("No answer came.", REMEDY))
        eras.record_era(answer.era)
        if answer.era < eras.current or asked_in not in (None, answer.era):
            return Err(_era_ended())
        if answer.result is None:
            self._health.record_trouble(name, "refused")
            return Err(StoreRefused("Nothing was done.", REMEDY))
        true_at_s = self._health.record_response(sent_s, answer.store_time_s)
        self._watcher.answered(self._boot, answer.made_s)
        if self._clock.now() - sent_s > wait_s + SLOW_CALL_S:
            self._health.record_trouble(name, "slow")
        if isinstance(answer.result, Err):
            return answer.result
        return Ok((answer.result.unwrap(), true_at_s))


def _era_ended() -> StoreError:
    return EraEnded("The store has come back from a copy.", REMEDY)


def _of_part(rows: Rows, part: TablePart) -> Rows:
    """Return rows with versions of the era in which they were written."""
    era = part.row_era(rows.version.era)
    versioned = (replace(row, version=replace(row.version, era=era)) for row in rows.rows)
    return replace(rows, rows=tuple(versioned))


def _rows(result: Result[tuple[RowState, float], StoreError]) -> Result[Rows, StoreError]:
    if isinstance(result, Err):
        return result
    state, true_at_s = result.unwrap()
    return Ok(Rows(state.rows, state.version, true_at_s))
