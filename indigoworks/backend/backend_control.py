"""Port to the lease and grant interface of the back ends."""

from typing import Protocol

from result import Result

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendError
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address


class BackendControl(Protocol):
    """Lease and grants of back ends. Each call is one request; nothing is retried here."""

    async def read_status(
        self, address: Address, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Read the server's status without changing it."""
        ...

    async def renew(
        self, address: Address, renewal: LeaseRenewal, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Renew the lease and set the grants; BackendRefused if the server refused."""
        ...
