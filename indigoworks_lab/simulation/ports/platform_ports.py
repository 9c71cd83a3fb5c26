"""The platform's ports as one simulated process reaches them."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from result import Err, Result

from indigoworks.platform.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow
from indigoworks_lab.simulation.core.remote_call import CallEnd
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.ports.simulated_platform import SimulatedPlatform

REQUEST_TIMEOUT_S = 2.0
"""Time after which a process gives up a request, as the HTTP adapters do."""

ValueT = TypeVar("ValueT")


class PlatformPorts:
    """TableStore, ObjectStore and MachineList of one process, over the simulated network."""

    def __init__(self, process: SimulatedProcess, platform: SimulatedPlatform) -> None:
        self._process = process
        self._platform = platform

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        """Return the row, or None where there is none."""
        return await self._call(lambda: self._platform.read(key), is_write=False)

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        """Apply all writes, or none."""
        return await self._call(lambda: self._platform.transact(writes), is_write=True)

    async def put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Store `content` under `name`."""
        return await self._call(lambda: self._platform.put(name, content), is_write=True)

    async def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return the content under `name`."""
        return await self._call(lambda: self._platform.get(name), is_write=False)

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Return the machines that the platform lists."""
        return await self._call(self._platform.machines, is_write=False)

    async def _call(
        self,
        operation: Callable[[], Awaitable[Result[ValueT, PlatformError]]],
        is_write: bool,
    ) -> Result[ValueT, PlatformError]:
        outcome = await self._platform.calls.call(
            self._process, self._platform.process, operation, REQUEST_TIMEOUT_S
        )
        if outcome.result is not None:
            return outcome.result
        if is_write and outcome.end is CallEnd.ANSWER_LOST:
            return Err(PlatformOutcomeUnknown("The answer was lost.", "Read back first."))
        return Err(PlatformUnavailable("The platform cannot be reached.", "Try later.", 1.0))
