"""Rows of a control group's log in the table service."""

import asyncio
from collections.abc import Sequence

from result import Err, Ok, Result

from indigoworks.controllog.log_replica import LogReplica
from indigoworks.controllog.stored_leader import StoredLeader
from indigoworks.platform.errors import PlatformError
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_store import TableStore
from indigoworks.wire.control_pb2 import Checkpoint, LeaderRow, LogBatch, Snapshot


class LogRows:
    """Rows `leader`, `checkpoint` and `log/0` to `log/N-1` below `groups/{id}/`.

    Batch n is in the row (n - 1) mod N, with the version (n - 1) div N + 1. So the number of a
    batch determines which version it replaces, and a delayed write never replaces another batch.
    """

    def __init__(self, table: TableStore, group_id: int, ring_rows: int) -> None:
        self._table = table
        self._prefix = f"groups/{group_id}/"
        self._ring_rows = ring_rows

    async def read_leader(self) -> Result[StoredLeader, PlatformError]:
        """Read the leader's row."""
        read = await self._table.read(self._prefix + "leader")
        if isinstance(read, Err):
            return read
        stored = read.unwrap()
        if stored is None:
            return Ok(StoredLeader(LeaderRow(), 0))
        return Ok(StoredLeader(LeaderRow.FromString(stored.value), stored.version))

    async def write(
        self, row: LeaderRow, version: int, others: Sequence[RowWrite] = ()
    ) -> Result[None, PlatformError]:
        """Write the leader's row and `others` together if the row still has `version`."""
        leader = RowWrite(self._prefix + "leader", row.SerializeToString(), version)
        return await self._table.transact([leader, *others])

    def batch_write(self, batch: LogBatch) -> RowWrite:
        """Make the write of a batch."""
        replaced_version = (batch.number - 1) // self._ring_rows
        return RowWrite(self._batch_key(batch.number), batch.SerializeToString(), replaced_version)

    def checkpoint_write(self, replica: LogReplica, version: int) -> RowWrite:
        """Make the write of the applied state as checkpoint."""
        checkpoint = Checkpoint(
            generation=replica.generation,
            last_index=replica.index,
            state=replica.state.snapshot(),
            last_batch=replica.batch,
        )
        return RowWrite(self._prefix + "checkpoint", checkpoint.SerializeToString(), version)

    async def first_row(self) -> Result[LeaderRow, PlatformError]:
        """Make the first leader's row; it continues a checkpoint of an earlier release, if any."""
        read = await self._table.read(self._prefix + "checkpoint")
        if isinstance(read, Err):
            return read
        stored = read.unwrap()
        if stored is None:
            return Ok(LeaderRow(generation=1))
        earlier = Checkpoint.FromString(stored.value)
        return Ok(
            LeaderRow(
                generation=earlier.generation + 1,
                last_index=earlier.last_index,
                checkpoint_version=stored.version,
            )
        )

    async def catch_up(self, replica: LogReplica, row: LeaderRow) -> bool:
        """Apply all commits as of `row`; False if it has to be retried."""
        is_known = replica.generation == row.generation
        if is_known and replica.index >= row.last_index:
            replica.batch = max(replica.batch, row.last_batch)
            return True
        is_beyond = is_known and replica.batch >= row.checkpoint_batch
        if not is_beyond and not await self._load_checkpoint(replica, row):
            return False
        numbers = range(replica.batch + 1, row.last_batch + 1)
        # In parallel, since a new leader cannot serve before it has them all.
        read = await asyncio.gather(*(self._read_batch(number) for number in numbers))
        for batch in read:
            if batch is None:
                return False
            replica.apply(batch.entries)
            replica.batch = batch.number
        return replica.index >= row.last_index

    async def _load_checkpoint(self, replica: LogReplica, row: LeaderRow) -> bool:
        if row.checkpoint_version == 0:
            replica.restore(row.generation, Snapshot())
            return True
        read = await self._table.read(self._prefix + "checkpoint")
        stored = read.unwrap_or(None)
        if stored is None:
            return False
        checkpoint = Checkpoint.FromString(stored.value)
        # Entries from the leader may be newer than the checkpoint; the state never goes back.
        if replica.generation != row.generation or checkpoint.last_index > replica.index:
            snapshot = Snapshot(last_index=checkpoint.last_index, state=checkpoint.state)
            replica.restore(row.generation, snapshot)
        replica.batch = checkpoint.last_batch
        return True

    async def _read_batch(self, number: int) -> LogBatch | None:
        """Read a batch; None if it cannot be read or its row holds a later one."""
        read = await self._table.read(self._batch_key(number))
        stored = read.unwrap_or(None)
        batch = None if stored is None else LogBatch.FromString(stored.value)
        return batch if batch is not None and batch.number == number else None

    def _batch_key(self, number: int) -> str:
        return f"{self._prefix}log/{(number - 1) % self._ring_rows}"
