"""Holds back one grant of a leader, and keeps its successors from the server."""

import asyncio
from collections.abc import Callable

from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.order_carrier import ServerOperation
from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer


class HeldGrant:
    """Implements `OrderWatcher`.

    The next grant of `sender` to `server` reaches it and is taken `late_s` after its sending; its
    answer is lost. Other leaders are cut off from the server before their first order to it.

    :ivar sent: done when the grant is sent.
    :ivar taken: done when it is taken, with the seconds for which the server then holds keys.
    :ivar result: how the server took it.
    :ivar has_successor: another process had begun to send orders by then.
    """

    def __init__(
        self,
        deployment: ControlDeployment,
        sender: SimulatedNode,
        server: SimulatedServer,
        late_s: float,
        on_first_successor: Callable[[SimulatedNode], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        self.sent: asyncio.Future[None] = loop.create_future()
        self.taken: asyncio.Future[float] = loop.create_future()
        self.result: OrderResult | None = None
        self.has_successor = False
        self._deployment = deployment
        self._sender = sender
        self._server = server
        self._late_s = late_s
        self._on_first_successor = on_first_successor
        self._cut_off: set[str] = set()

    def connecting(self, node: str, server: ServerRecord) -> None:
        """Cut a successor off that sends its first order to the server."""
        is_meant = server.server_id == self._server.server_id
        if not is_meant or self._is_sender(node) or node in self._cut_off:
            return
        self._deployment.links.cut(node, str(server.address))
        self._cut_off.add(node)
        if len(self._cut_off) == 1:
            self._on_first_successor(self._deployment.nodes[node])

    async def takes_over(
        self, node: str, server: ServerRecord, operation: ServerOperation, is_grant: bool
    ) -> bool:
        """Hold the grant back."""
        is_meant = server.server_id == self._server.server_id and self._is_sender(node)
        if self.sent.done() or not (is_grant and is_meant):
            return False
        self.sent.set_result(None)
        await asyncio.sleep(self._late_s)
        self.has_successor = bool(self._cut_off)
        outcome = await operation(self._server, False)
        self.result = outcome.result
        now_s = self._deployment.loop.time()
        ends_s = [piece.value.until_s for piece in self._server.held()]
        self.taken.set_result(max(ends_s, default=now_s) - now_s)
        return True

    def heal(self) -> None:
        """Let successors reach the server again."""
        now_s = self._deployment.loop.time()
        for name in self._cut_off:
            self._deployment.links.heal(name, str(self._server.address), now_s)
        self._deployment.orders.watcher = None

    def _is_sender(self, node: str) -> bool:
        return self._deployment.nodes[node].boot == self._sender.boot
