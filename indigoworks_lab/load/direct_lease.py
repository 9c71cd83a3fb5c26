"""Keeps the lease of one back end without a controller."""

import asyncio

from result import Err, Ok, Result

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendError
from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.http_backend_control import HttpBackendControl
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks.controller.lease_timing import BACKEND_LEASE_S, RENEWAL_INTERVAL_S

CALL_TIMEOUT_S = 1.0
DIRECT_GENERATION = 1
DIRECT_GRANTS_VERSION = 1
WHOLE_SPACE = GrantedRange(0, KEY_SPACE_MAX, token=1)


class DirectLease:
    """Grants the whole key space to one server and renews its lease.

    Only for a server that no controller knows.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._control = HttpBackendControl(clock)
        self._renewing: asyncio.Task[None] | None = None

    async def start(self) -> Result[BackendStatus, BackendError]:
        """Take the first lease and renew it from now on."""
        read = await self._control.read_status(self._address, CALL_TIMEOUT_S)
        if read.is_err():
            return Err(read.unwrap_err())
        renewed = await self._renew(read.unwrap())
        if renewed.is_ok():
            self._renewing = asyncio.ensure_future(self._renew_on(renewed.unwrap()))
        return renewed

    async def stop(self) -> None:
        """Let the lease lapse."""
        if self._renewing is not None:
            self._renewing.cancel()
            await asyncio.gather(self._renewing, return_exceptions=True)
        self._control.close()

    async def _renew_on(self, status: BackendStatus) -> None:
        while True:
            await self._clock.sleep(RENEWAL_INTERVAL_S)
            renewed = await self._renew(status)
            if not isinstance(renewed, Ok):
                renewed = await self._control.read_status(self._address, CALL_TIMEOUT_S)
            if isinstance(renewed, Ok):
                status = renewed.unwrap()

    async def _renew(self, status: BackendStatus) -> Result[BackendStatus, BackendError]:
        renewal = LeaseRenewal(
            incarnation=status.incarnation,
            generation=DIRECT_GENERATION,
            grants_version=DIRECT_GRANTS_VERSION,
            valid_until_s=status.clock_s + BACKEND_LEASE_S,
            ranges=(WHOLE_SPACE,),
        )
        return await self._control.renew(self._address, renewal, CALL_TIMEOUT_S)
