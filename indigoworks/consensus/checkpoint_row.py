"""The row of the table service that holds a group's checkpoint."""

from result import Err, Ok, Result

from indigoworks.consensus.stored_checkpoint import StoredCheckpoint
from indigoworks.platform.errors import PlatformError, PlatformOutcomeUnknown
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_store import TableStore
from indigoworks.wire.control_pb2 import Checkpoint


class CheckpointRow:
    """Reads the row "groups/{id}/checkpoint" and replaces it by compare-and-set."""

    def __init__(self, table: TableStore, group_id: int) -> None:
        self._table = table
        self._key = f"groups/{group_id}/checkpoint"

    async def read(self) -> Result[StoredCheckpoint | None, PlatformError]:
        """Return the checkpoint and its row version, or None where there is no row."""
        read = await self._table.read(self._key)
        if read.is_err():
            return Err(read.unwrap_err())
        row = read.unwrap()
        if row is None:
            return Ok(None)
        return Ok(StoredCheckpoint(Checkpoint.FromString(row.value), row.version))

    async def replace(
        self, checkpoint: Checkpoint, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write the checkpoint if the row still has `expected_version` (0: no row).

        A lost answer is resolved by reading back once.

        :returns: the new row version; PlatformOutcomeUnknown where even that gave no answer.
        """
        value = checkpoint.SerializeToString(deterministic=True)
        written = await self._table.transact([RowWrite(self._key, value, expected_version)])
        if written.is_ok():
            return Ok(expected_version + 1)
        error = written.unwrap_err()
        if not isinstance(error, PlatformOutcomeUnknown):
            return Err(error)
        read = await self._table.read(self._key)
        if read.is_ok():
            row = read.unwrap()
            if row is not None and row.value == value and row.version == expected_version + 1:
                return Ok(row.version)
        return Err(error)
