"""All back ends of a run, by address."""

from indigoworks.common.address import Address
from indigoworks_lab.simulation.core.remote_call import RemoteCall
from indigoworks_lab.simulation.ports.simulated_server import SimulatedServer


class SimulatedBackends:
    """What listens on each address, and the calls that reach it.

    :ivar control_calls: carries status reads and renewals.
    :ivar request_calls: carries callers' requests.
    """

    def __init__(self, control_calls: RemoteCall, request_calls: RemoteCall) -> None:
        self.control_calls = control_calls
        self.request_calls = request_calls
        self._servers: dict[Address, SimulatedServer] = {}

    def add(self, server: SimulatedServer) -> None:
        """Let `server` listen on its address."""
        self._servers[server.address] = server

    def at(self, address: Address) -> SimulatedServer | None:
        """Return what listens on `address`, if anything does."""
        return self._servers.get(address)
