"""The platform of a run, without faults but with its lag."""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import replace

from result import Err, Ok, Result

from indigoworks.platform.errors import PlatformError, VersionConflict
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow

REQUEST_S = 0.004
"""Time of one request to the platform."""

MACHINE_LIST_LAG_S = 1.0
"""Age of the machine list that is handed out."""

LOSS_LISTED_AFTER_S = 5.0
"""Time after which the platform notices that a machine is lost."""


class BenchPlatform:
    """TableStore, ObjectStore and MachineList, in memory."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}
        self._objects: dict[str, bytes] = {}
        self._machines: dict[str, MachineRecord] = {}
        self._lists: deque[tuple[float, tuple[MachineRecord, ...]]] = deque([(0.0, ())])

    def list_machine(self, record: MachineRecord) -> None:
        """Add a machine to the list."""
        self._machines[record.name] = record
        self._publish()

    def mark_leaving(self, name: str) -> None:
        """Say that a machine is to be stopped."""
        self._machines[name] = replace(self._machines[name], is_leaving=True)
        self._publish()

    def unlist_machine(self, name: str) -> None:
        """Take a machine off the list."""
        self._machines.pop(name, None)
        self._publish()

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        """Return the row, or None where there is none."""
        await asyncio.sleep(REQUEST_S)
        return Ok(self._rows.get(key))

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        """Apply all writes, or none."""
        await asyncio.sleep(REQUEST_S)
        for write in writes:
            row = self._rows.get(write.key)
            if (row.version if row else 0) != write.expected_version:
                return Err(VersionConflict(f"Row {write.key} has changed.", "Read it again."))
        for write in writes:
            self._rows[write.key] = TableRow(write.key, write.value, write.expected_version + 1)
        return Ok(None)

    async def put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Store `content` under `name`."""
        await asyncio.sleep(REQUEST_S)
        self._objects[name] = content
        return Ok(None)

    async def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return the content under `name`."""
        await asyncio.sleep(REQUEST_S)
        return Ok(self._objects.get(name))

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Return the machines as they were listed MACHINE_LIST_LAG_S ago."""
        await asyncio.sleep(REQUEST_S)
        moment_s = asyncio.get_running_loop().time() - MACHINE_LIST_LAG_S
        listed: tuple[MachineRecord, ...] = ()
        for published_s, machines in self._lists:
            if published_s <= moment_s:
                listed = machines
        return Ok(listed)

    def _publish(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._lists.append((now_s, tuple(self._machines.values())))
