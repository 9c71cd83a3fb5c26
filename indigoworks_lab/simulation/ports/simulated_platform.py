"""The platform's state and faults, in memory, on a simulated host."""

import asyncio
from collections import deque
from collections.abc import Sequence
from random import Random

from result import Err, Ok, Result

from indigoworks.platform.errors import (
    PlatformError,
    PlatformRateLimited,
    PlatformUnavailable,
    VersionConflict,
)
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow
from indigoworks_lab.simulation.core.remote_call import RemoteCall
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess

USUAL_DELAY_S = 0.004
RETRY_AFTER_S = 1.0


class SimulatedPlatform:
    """Table service, object store and machine list, with switches for their faults.

    :ivar is_down: every request is refused, nothing takes effect.
    :ivar delay_s: largest additional delay before a request takes effect.
    :ivar rate_limit_ratio: share of the requests refused for their rate.
    :ivar machine_list_lag_s: age of the list that is handed out.
    :ivar refused: requests refused by a fault so far.
    :ivar slowed: requests that were given an additional delay so far.
    """

    def __init__(self, process: SimulatedProcess, calls: RemoteCall, random: Random) -> None:
        self.process = process
        self.calls = calls
        self.is_down = False
        self.delay_s = 0.0
        self.rate_limit_ratio = 0.0
        self.machine_list_lag_s = 0.5
        self.refused = 0
        self.slowed = 0
        self._random = random
        self._rows: dict[str, TableRow] = {}
        self._objects: dict[str, bytes] = {}
        self._machines: dict[str, MachineRecord] = {}
        self._lists: deque[tuple[float, tuple[MachineRecord, ...]]] = deque([(0.0, ())])

    # ---- the machine list, as the simulation changes it ----

    def list_machine(self, record: MachineRecord) -> None:
        """Add or replace a machine."""
        self._machines[record.name] = record
        self._publish_list()

    def unlist_machine(self, name: str) -> None:
        """Remove a machine."""
        self._machines.pop(name, None)
        self._publish_list()

    def row(self, key: str) -> TableRow | None:
        """Return a row as it stands, without delay or fault; for checkers."""
        return self._rows.get(key)

    # ---- requests ----

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        """Serve one read of the table service."""
        refusal = await self._admit()
        if refusal is not None:
            return Err(refusal)
        return Ok(self._rows.get(key))

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        """Serve one transaction of the table service."""
        refusal = await self._admit()
        if refusal is not None:
            return Err(refusal)
        for write in writes:
            row = self._rows.get(write.key)
            if (row.version if row else 0) != write.expected_version:
                return Err(VersionConflict(f"Row {write.key} has changed.", "Read it again."))
        for write in writes:
            self._rows[write.key] = TableRow(write.key, write.value, write.expected_version + 1)
        return Ok(None)

    async def put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Serve one write to the object store."""
        refusal = await self._admit()
        if refusal is not None:
            return Err(refusal)
        self._objects[name] = content
        return Ok(None)

    async def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Serve one read of the object store."""
        refusal = await self._admit()
        if refusal is not None:
            return Err(refusal)
        return Ok(self._objects.get(name))

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Serve one read of the machine list, as it was `machine_list_lag_s` ago."""
        refusal = await self._admit()
        if refusal is not None:
            return Err(refusal)
        moment_s = asyncio.get_running_loop().time() - self.machine_list_lag_s
        listed: tuple[MachineRecord, ...] = self._lists[0][1]
        for published_s, machines in self._lists:
            if published_s <= moment_s:
                listed = machines
        return Ok(listed)

    async def _admit(self) -> PlatformError | None:
        await asyncio.sleep(self._random.uniform(0.5, 1.5) * USUAL_DELAY_S)
        if self.delay_s > 0:
            self.slowed += 1
            await asyncio.sleep(self._random.uniform(0, self.delay_s))
        if self.is_down:
            self.refused += 1
            return PlatformUnavailable("The platform is down.", "Try later.", RETRY_AFTER_S)
        if self._random.random() < self.rate_limit_ratio:
            self.refused += 1
            return PlatformRateLimited("Too many requests.", "Try later.", RETRY_AFTER_S)
        return None

    def _publish_list(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._lists.append((now_s, tuple(self._machines.values())))
