"""Port to the list of live and leaving machines."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from indigoworks.platform.errors import PlatformError
from indigoworks.platform.machine_record import MachineRecord


class MachineList(Protocol):
    """The platform's list of machines. It lags, so it is used as a hint only."""

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Return the machines that the platform lists now."""
        ...
