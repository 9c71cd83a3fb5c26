"""The back ends' ports as one simulated process reaches them."""

from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendAnswerLost, BackendError, BackendUnreachable
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.address import Address
from indigoworks_lab.simulation.core.remote_call import CallEnd, CallOutcome
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.ports.recording_server import RecordingServer
from indigoworks_lab.simulation.ports.simulated_backends import SimulatedBackends
from indigoworks_lab.simulation.ports.simulated_server import SimulatedServer

SendListener = Callable[[OwnedRequest], None]


class BackendPorts:
    """BackendControl and BackendRequests of one process, over the simulated network."""

    def __init__(
        self,
        process: SimulatedProcess,
        backends: SimulatedBackends,
        on_send: SendListener | None = None,
    ) -> None:
        """Prepare the ports.

        :param on_send: called with each request at the moment it leaves the process.
        """
        self._process = process
        self._backends = backends
        self._on_send = on_send

    async def read_status(
        self, address: Address, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Return the server's status without changing it."""
        server = self._backends.at(address)

        async def operation() -> BackendStatus:
            return _core(server).status()

        outcome = await self._backends.control_calls.call(
            self._process, _process(server), operation, timeout_s
        )
        if outcome.result is not None:
            return Ok(outcome.result)
        return Err(_error(outcome, address))

    async def renew(
        self, address: Address, renewal: LeaseRenewal, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Renew the lease and set the grants."""
        server = self._backends.at(address)

        async def operation() -> Result[BackendStatus, BackendError]:
            return _core(server).renew(renewal).map_err(_as_backend_error)

        outcome = await self._backends.control_calls.call(
            self._process, _process(server), operation, timeout_s
        )
        if outcome.result is not None:
            return outcome.result
        return Err(_error(outcome, address))

    async def send(
        self, address: Address, request: OwnedRequest
    ) -> Result[BackendResponse, BackendError]:
        """Send one request and wait for its whole answer."""
        server = self._backends.at(address)
        if self._on_send is not None:
            self._on_send(request)

        async def operation() -> BackendResponse:
            return await _core(server).execute(request)

        outcome = await self._backends.request_calls.call(
            self._process, _process(server), operation, request.remaining_s
        )
        if outcome.result is not None:
            return Ok(outcome.result)
        return Err(_error(outcome, address))


def _core(server: SimulatedServer | None) -> RecordingServer:
    assert server is not None, "a call runs only where something listens"
    return server.core


def _process(server: SimulatedServer | None) -> SimulatedProcess | None:
    return server.process if server is not None else None


def _as_backend_error(error: BackendError) -> BackendError:
    return error


def _error(outcome: CallOutcome[Any], address: Address) -> BackendError:
    if outcome.end is CallEnd.NOT_SENT:
        return BackendUnreachable(f"No connection to {address}.", "Check the server.")
    return BackendAnswerLost(f"The answer of {address} is missing.", "Check the server.")
