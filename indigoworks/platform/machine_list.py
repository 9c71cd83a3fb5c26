"""Port to the list of live and leaving machines."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from indigoworks.platform.errors import PlatformError
from indigoworks.platform.machine_record import MachineRecord


class MachineList(Protocol):
    """The platform's list of machines. It may be out of date, so it is used only as a hint."""

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Return the machines that the platform lists now."""
        ...
