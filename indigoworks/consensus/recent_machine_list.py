"""The machine list, read no more often than needed."""

from collections.abc import Sequence

from result import Result

from indigoworks.common.clock import Clock
from indigoworks.platform.errors import PlatformError
from indigoworks.platform.machine_list import MachineList
from indigoworks.platform.machine_record import MachineRecord


class RecentMachineList:
    """Repeats the last answer of a machine list while it is recent; the platform limits rates."""

    def __init__(self, machines: MachineList, clock: Clock, max_age_s: float) -> None:
        self._machines = machines
        self._clock = clock
        self._max_age_s = max_age_s
        self._read_at_s = float("-inf")
        self._last: Result[Sequence[MachineRecord], PlatformError] | None = None

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Return the machines as listed at most `max_age_s` ago."""
        if self._last is not None and self._clock.now() - self._read_at_s < self._max_age_s:
            return self._last
        self._last = await self._machines.machines()
        self._read_at_s = self._clock.now()
        return self._last
