"""The back ends as one process reaches them."""

import asyncio

from result import Err, Ok, Result

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendAnswerLost, BackendError, BackendUnreachable
from indigoworks.backend.http_backend_requests import CONNECTIONS_PER_SERVER
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.address import Address
from indigoworks_lab.bench.deployment.backend_connections import BackendConnections
from indigoworks_lab.bench.deployment.backend_registry import BackendRegistry
from indigoworks_lab.bench.deployment.bench_server import BenchServer
from indigoworks_lab.bench.network.topology import Topology


class BackendLink:
    """BackendRequests and BackendControl of one process.

    Requests go over persistent connections, as the HTTP adapter's do: as many at a time, as long
    a wait for a connection, and the same difference between "not sent" and "answer lost".
    """

    def __init__(self, host: str, registry: BackendRegistry, topology: Topology) -> None:
        self._host = host
        self._registry = registry
        self._topology = topology
        self._connections: dict[Address, BackendConnections] = {}

    async def send(
        self, address: Address, request: OwnedRequest
    ) -> Result[BackendResponse, BackendError]:
        """Send one request and wait for its whole answer."""
        server = self._registry.at(address)
        connections = self._connections_to(server)
        is_sent = False
        is_answered = False
        try:
            async with asyncio.timeout(request.remaining_s):
                if not await connections.acquire():
                    return Err(_unreachable(address))
                is_sent = True
                try:
                    answer = await self._exchange(server, request)
                    is_answered = True
                finally:
                    connections.release(is_answered)
        except TimeoutError:
            return Err(_lost(address) if is_sent else _unreachable(address))
        return Ok(answer)

    async def read_status(
        self, address: Address, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Return the server's status without changing it."""
        server = self._registry.at(address)
        if not await self._control_round_trip(server, timeout_s):
            return Err(_unreachable(address))
        return Ok(server.status())

    async def renew(
        self, address: Address, renewal: LeaseRenewal, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Renew the lease and set the grants."""
        server = self._registry.at(address)
        if not await self._control_round_trip(server, timeout_s):
            return Err(_lost(address))
        renewed = server.renew(renewal)
        await asyncio.sleep(self._delay_s(server))
        return Ok(renewed.unwrap()) if renewed.is_ok() else Err(renewed.unwrap_err())

    async def _exchange(self, server: BenchServer, request: OwnedRequest) -> BackendResponse:
        await asyncio.sleep(self._delay_s(server))
        await _wait_forever_if_lost(server)
        answer = await server.execute(request)
        await _wait_forever_if_lost(server)
        await asyncio.sleep(self._delay_s(server))
        return answer

    async def _control_round_trip(self, server: BenchServer, timeout_s: float) -> bool:
        await asyncio.sleep(self._delay_s(server))
        if server.is_lost:
            await asyncio.sleep(timeout_s)
        return not server.is_lost

    def _connections_to(self, server: BenchServer) -> BackendConnections:
        found = self._connections.get(server.address)
        if found is None:
            delay_s = self._delay_s(server)
            found = BackendConnections(server, CONNECTIONS_PER_SERVER, delay_s)
            self._connections[server.address] = found
        return found

    def _delay_s(self, server: BenchServer) -> float:
        return self._topology.delay_s(self._host, server.address.host)


async def _wait_forever_if_lost(server: BenchServer) -> None:
    """No machine is there to reset the connection: only the timeout of the caller ends the wait."""
    if server.is_lost:
        await asyncio.Event().wait()


def _unreachable(address: Address) -> BackendUnreachable:
    return BackendUnreachable(f"No connection to {address}.", "Check that the server runs.")


def _lost(address: Address) -> BackendAnswerLost:
    return BackendAnswerLost(f"The answer of {address} is missing.", "Read back first.")
