"""Addresses of the controllers, in the order in which a router tries them."""

from collections.abc import Sequence

import xxhash
from result import Ok

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.platform.machine_list import MachineList

CONTROLLER_ROLE = "controller"

REFRESH_INTERVAL_S = 3.0
"""Interval between reads of the platform's machine list, which is rate-limited."""


class ControllerDirectory:
    """Lists controller addresses from the configuration and the platform's machine list.

    Controllers in the router's own zone come first. Within a zone the order is a hash of router
    name and address: stable for one router, and different routers start at different controllers.
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
        """Refresh periodically until cancelled; no request waits for the platform."""
        while True:
            await self.refresh()
            await clock.sleep(REFRESH_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the platform's machine list; if that fails, the last one read is kept."""
        listed = await self._machines.machines()
        if not isinstance(listed, Ok):
            return
        self._zones = {
            Address(record.host, record.port): record.zone
            for record in listed.unwrap()
            if record.role == CONTROLLER_ROLE
        }

    def candidates(self) -> tuple[Address, ...]:
        """Return the known addresses, the first choice first.

        The machine list lags, so configured addresses are included even if it lacks them.
        """
        known = {*self._configured, *self._zones}
        return tuple(sorted(known, key=self._rank))

    def _rank(self, address: Address) -> tuple[bool, int, Address]:
        is_elsewhere = self._zones.get(address) != self._zone
        spread = xxhash.xxh64_intdigest(f"{self._router_name}\0{address}".encode())
        return (is_elsewhere, spread, address)
