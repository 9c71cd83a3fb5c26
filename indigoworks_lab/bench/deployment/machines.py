"""The machines of a run: back ends come and go, all variants alike."""

import asyncio
from random import Random

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.platform.machine_record import MachineRecord
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.bench.deployment.backend_registry import BackendRegistry
from indigoworks_lab.bench.deployment.bench_platform import LOSS_LISTED_AFTER_S, BenchPlatform
from indigoworks_lab.bench.deployment.bench_server import BenchServer
from indigoworks_lab.bench.installation.installation import ZONES, Installation
from indigoworks_lab.bench.installation.service_shape import ServiceShape
from indigoworks_lab.bench.network.topology import Topology

SERVER_PORT = 8000
LEAVING_LASTS_S = 5.0
"""Time from the notice that a server leaves to its end."""


class Machines:
    """Starts, stops and loses back ends, and keeps the platform's list."""

    def __init__(
        self, installation: Installation, topology: Topology, seed: int, has_owners: bool
    ) -> None:
        """Begin without machines.

        :param has_owners: servers run only what they own; without, they run every key.
        """
        self.installation = installation
        self.topology = topology
        self.registry = BackendRegistry()
        self.platform = BenchPlatform()
        self.seed = seed
        self._has_owners = has_owners
        self._started: dict[str, int] = {}
        self._hosts = 0

    def random(self, purpose: str) -> Random:
        """Return random numbers of their own for one purpose; equal in every run of the seed."""
        return Random(f"{self.seed}:{purpose}")

    def start_servers(self) -> None:
        """Start all servers of the installation."""
        for shape in self.installation.services:
            for _ in range(shape.servers):
                self.start_server(shape)

    def start_server(self, shape: ServiceShape) -> BenchServer:
        """Start one more server of a service."""
        number = self._started.get(shape.name, 0)
        self._started[shape.name] = number + 1
        name = f"{shape.name}-{number + 1}"
        zone = ZONES[number % len(ZONES)]
        host = self.new_host(zone)
        identity = StandInIdentity(name, f"{name}#1", shape.name, zone)
        address = Address(host, SERVER_PORT)
        random = self.random(f"server:{name}")
        server = BenchServer(identity, shape, address, LoopClock(), random)
        if not self._has_owners:
            server.ignore_ownership()
        self.registry.add(server)
        self.platform.list_machine(
            MachineRecord(name, "server", shape.name, zone, host, SERVER_PORT)
        )
        return server

    async def lose_server(self, server: BenchServer) -> None:
        """Lose a machine; the platform notices later."""
        server.lose()
        await asyncio.sleep(LOSS_LISTED_AFTER_S)
        self.platform.unlist_machine(server.identity.name)

    async def stop_server(self, server: BenchServer) -> None:
        """Stop a server with notice."""
        server.drain()
        self.platform.mark_leaving(server.identity.name)
        await asyncio.sleep(LEAVING_LASTS_S)
        self.platform.unlist_machine(server.identity.name)
        server.lose()

    def new_host(self, zone: str) -> str:
        """Return the address of a new host in a zone."""
        self._hosts += 1
        host = f"10.{ZONES.index(zone) + 1}.{self._hosts // 250}.{self._hosts % 250 + 1}"
        self.topology.place(host, zone)
        return host
