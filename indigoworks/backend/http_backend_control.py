"""HTTP adapter of the lease and grant interface of the back ends."""

from http import HTTPStatus

from pydantic import ValidationError
from result import Err, Ok, Result

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendAnswerLost, BackendError, BackendRefused
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_renewal_model import HttpRenewalModel
from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.http_sender import HttpSender
from indigoworks.backend.http_status_model import HttpStatusModel
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock

STATUS_PATH = "/control/status"
LEASE_PATH = "/control/lease"
CONNECTIONS_PER_SERVER = 2
"""One for renewals, one for concurrent status reads."""

JSON_HEADERS = (("Content-Type", "application/json"),)


class HttpBackendControl:
    """Reads status and renews leases over persistent HTTP connections. See BackendControl."""

    def __init__(self, clock: Clock, connections_per_server: int = CONNECTIONS_PER_SERVER) -> None:
        self._sender = HttpSender(clock, connections_per_server)

    async def read_status(
        self, address: Address, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Return the server's status; see BackendControl.read_status."""
        return await self._exchange(address, HttpMessage("GET", STATUS_PATH), timeout_s)

    async def renew(
        self, address: Address, renewal: LeaseRenewal, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Renew the lease and set the grants; see BackendControl.renew."""
        body = HttpRenewalModel.from_renewal(renewal).model_dump_json().encode()
        message = HttpMessage("PUT", LEASE_PATH, JSON_HEADERS, body)
        return await self._exchange(address, message, timeout_s)

    def forget(self, address: Address) -> None:
        """Close the idle connections to a server that left."""
        self._sender.forget(address)

    def close(self) -> None:
        """Close the idle connections."""
        self._sender.close()

    async def _exchange(
        self, address: Address, message: HttpMessage, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        result = await self._sender.send(address, lambda: message, timeout_s)
        if result.is_err():
            return Err(result.unwrap_err())
        return _status_of(address, result.unwrap())


def _status_of(address: Address, response: HttpResponse) -> Result[BackendStatus, BackendError]:
    if response.status == HTTPStatus.CONFLICT:
        return Err(_refused(address, response))
    if response.status != HTTPStatus.OK:
        return Err(_invalid_response(address))
    try:
        return Ok(HttpStatusModel.model_validate_json(response.body).to_status())
    except ValidationError:
        return Err(_invalid_response(address))


def _refused(address: Address, response: HttpResponse) -> BackendRefused:
    reason = response.body.decode("utf-8", "replace")
    return BackendRefused(
        f"The back end at {address} refused the renewal: {reason}",
        "Read its status and renew with its incarnation and the newest grants.",
    )


def _invalid_response(address: Address) -> BackendAnswerLost:
    return BackendAnswerLost(
        f"The back end at {address} gave no usable status.",
        "Check that a server of the back-end contract listens at that address.",
    )
