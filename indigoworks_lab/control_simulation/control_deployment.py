"""Nodes, servers and store of one run."""

from random import Random

from indigoworks_lab.control_simulation.configuration_checker import ConfigurationChecker
from indigoworks_lab.control_simulation.control_audit import ControlAudit
from indigoworks_lab.control_simulation.control_plan import HOLD_MAX_S
from indigoworks_lab.control_simulation.datagram_links import DatagramLinks
from indigoworks_lab.control_simulation.links import Links
from indigoworks_lab.control_simulation.node_settings import node_settings
from indigoworks_lab.control_simulation.node_world import NodeWorld
from indigoworks_lab.control_simulation.order_carrier import OrderCarrier
from indigoworks_lab.control_simulation.recovery_checker import RecoveryChecker
from indigoworks_lab.control_simulation.request_carrier import RequestCarrier
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.server_entry import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
)
from indigoworks_lab.control_simulation.server_fleet import ServerFleet
from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.simulated_store import SimulatedStore
from indigoworks_lab.control_simulation.traffic_counter import TrafficCounter
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess


class ControlDeployment:
    """Builds everything; starts and kills nodes.

    :ivar nodes: the newest life of each node, by name; dead ones stay until they are started.
    """

    def __init__(
        self,
        loop: FaultyLoop,
        seed: int,
        node_count: int,
        server_count: int,
        hold_max_s: float = HOLD_MAX_S,
        zones: int = 1,
    ) -> None:
        self.loop = loop
        self.seed = seed
        self.links = Links(self.random("links"))
        self.traffic = TrafficCounter()
        self.store = SimulatedStore(loop, self.links, self.random("store"), self.traffic)
        servers: dict[str, SimulatedServer] = {}
        self.audit = ControlAudit(loop, self.store.rows, servers)
        self.fleet = ServerFleet(
            loop,
            self.links,
            self.store,
            self.audit,
            self.random("fleet"),
            lambda work: run_outside(loop, work),
        )
        self.fleet.servers = servers
        self.orders = OrderCarrier(
            loop, self.links, self.fleet.at, self.random("orders"), self.traffic
        )
        self.world = NodeWorld(
            loop,
            self.links,
            self.store,
            self.orders,
            RequestCarrier(self.links, self.fleet.at),
            DatagramLinks(self.links, self.traffic),
            self.audit,
        )
        self.nodes: dict[str, SimulatedNode] = {}
        self.recovery = RecoveryChecker(
            loop, self.living_nodes, self.fleet.up, self.audit.violations
        )
        self._node_count = node_count
        self._server_count = server_count
        self._hold_max_s = hold_max_s
        self._zones = zones
        self._boots = 0
        self._is_returning = False

    def random(self, purpose: str) -> Random:
        """Return a source of randomness of its own for a purpose."""
        return Random(f"{self.seed}:{purpose}")

    def start(self) -> None:
        """Start all nodes and servers, and what watches them."""
        self.store.rows.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, b"1")
        for _ in range(self._server_count):
            self.fleet.start()
        for number in range(1, self._node_count + 1):
            self.start_node(number)
        run_outside(self.loop, self.fleet.reap())
        run_outside(self.loop, self.audit.overlap.run())
        configuration = ConfigurationChecker(self.living_nodes, self.audit.violations)
        run_outside(self.loop, configuration.run())

    def start_node(self, number: int) -> None:
        """Start a new life of a node."""
        settings = node_settings(number, self._hold_max_s, self._zones)
        self._boots += 1
        boot = f"boot-{number}-{self._boots}"
        process = SimulatedProcess(
            self.loop, settings.node, settings.peer_address.host, settings.zone
        )
        node = SimulatedNode(settings, boot, process, self.world, self.random(boot))
        self.nodes[settings.node] = node
        node.start()

    def restart_node(self, name: str) -> None:
        """Start a node again."""
        self._is_returning = self._is_returning or not self.living_nodes()
        if self._is_returning:
            self.recovery.note_back()
        self.recovery.note_started()
        self.start_node(int(name[1:]))
        if len(self.living_nodes()) == self._node_count:
            self._is_returning = False

    def living_nodes(self) -> list[SimulatedNode]:
        """Return the nodes whose process runs or is frozen."""
        return [each for each in self.nodes.values() if each.process.is_alive]

    def leader(self) -> SimulatedNode | None:
        """Return a node that may act as leader."""
        for node in self.living_nodes():
            if node.control.leadership.may_act():
                return node
        return None
