"""A machine list that never changes."""

from collections.abc import Sequence

from result import Ok, Result

from indigoworks.platform.errors import PlatformError
from indigoworks.platform.machine_record import MachineRecord


class StaticMachineList:
    """Lists the controllers of a scale run, so that hollow routers ask no platform."""

    def __init__(self, records: Sequence[MachineRecord]) -> None:
        self._records = tuple(records)

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Return the records."""
        return Ok(self._records)
