"""Where a router looks for controllers."""

from collections.abc import Sequence

import xxhash
from result import Ok

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.platform.machine_list import MachineList

CONTROLLER_ROLE = "controller"

REFRESH_INTERVAL_S = 3.0
"""Pause between two reads of the platform's machine list, which is rate-limited."""


class ControllerDirectory:
    """Addresses of controllers in the order in which one router tries them.

    Controllers of the router's own zone go first. Within a zone the order is a hash of router and
    address: fixed for one router, spread over the controllers for many.
    """

    def __init__(
        self, router_name: str, zone: str, configured: Sequence[Address], machines: MachineList
    ) -> None:
        self._router_name = router_name
        self._zone = zone
        self._configured = tuple(configured)
        self._machines = machines
        self._zones: dict[Address, str] = {}

    async def run(self, clock: Clock) -> None:
        """Refresh from time to time until cancelled; nothing waits for the platform."""
        while True:
            await self.refresh()
            await clock.sleep(REFRESH_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the platform's machine list; when it cannot be read the last one is kept."""
        listed = await self._machines.machines()
        if not isinstance(listed, Ok):
            return
        self._zones = {
            Address(record.host, record.port): record.zone
            for record in listed.unwrap()
            if record.role == CONTROLLER_ROLE
        }

    def candidates(self) -> tuple[Address, ...]:
        """Return the known addresses, first to last.

        The machine list lags, so the configured addresses stay in even when it lacks them.
        """
        known = {*self._configured, *self._zones}
        return tuple(sorted(known, key=self._rank))

    def _rank(self, address: Address) -> tuple[bool, int, Address]:
        is_elsewhere = self._zones.get(address) != self._zone
        spread = xxhash.xxh64_intdigest(f"{self._router_name}\0{address}".encode())
        return (is_elsewhere, spread, address)
