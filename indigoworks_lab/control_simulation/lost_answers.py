"""A server that carries orders out and whose answers are lost."""

from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.order_carrier import ServerOperation
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer


class LostAnswers:
    """Implements `OrderWatcher`: loses the answers of one server."""

    def __init__(self, server: SimulatedServer) -> None:
        self._server = server

    def connecting(self, node: str, server: ServerRecord) -> None:
        """Let it connect."""

    async def takes_over(
        self, node: str, server: ServerRecord, operation: ServerOperation, is_grant: bool
    ) -> bool:
        """Carry orders to the server out, without an answer."""
        if server.server_id != self._server.server_id:
            return False
        await operation(self._server, False)
        return True
