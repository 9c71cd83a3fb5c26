"""One run of one scenario under one variant and one seed."""

import asyncio
from pathlib import Path

from eliot import add_destinations, remove_destination

from indigoworks_lab.bench.baseline.hashing_hosts import HashingHosts
from indigoworks_lab.bench.deployment.control_plane_hosts import ControlPlaneHosts
from indigoworks_lab.bench.deployment.machines import Machines
from indigoworks_lab.bench.deployment.variant import Variant
from indigoworks_lab.bench.figures.granted_ownership import GrantedOwnership
from indigoworks_lab.bench.figures.hashed_ownership import HashedOwnership
from indigoworks_lab.bench.figures.key_places import KeyPlaces
from indigoworks_lab.bench.figures.ownership_meter import OwnershipMeter
from indigoworks_lab.bench.figures.ownership_source import OwnershipSource
from indigoworks_lab.bench.figures.run_record import RunRecord
from indigoworks_lab.bench.installation.installation import Installation
from indigoworks_lab.bench.network.topology import Topology
from indigoworks_lab.bench.network.virtual_loop import VirtualLoop
from indigoworks_lab.bench.network.virtual_network import VirtualNetwork
from indigoworks_lab.bench.scenario.calm_load import calm_streams
from indigoworks_lab.bench.scenario.load_generator import LoadGenerator, key_name
from indigoworks_lab.bench.scenario.scenario import END_S, WARM_UP_S, Scenario
from indigoworks_lab.bench.scenario.server_event import ServerEvent, ServerEventKind


class BenchRun:
    """Assembles the processes of a run, sends the load and records what happens."""

    def __init__(
        self,
        installation: Installation,
        scenario: Scenario,
        variant: Variant,
        seed: int,
        tree_directory: Path,
    ) -> None:
        self._installation = installation
        self._scenario = scenario
        self._variant = variant
        self._seed = seed
        self._tree_directory = tree_directory

    def run(self) -> RunRecord:
        """Run on virtual time and return the records."""
        topology = Topology(
            self._installation.within_zone_s,
            self._installation.between_zones_s,
            self._installation.to_clients_s,
        )
        loop = VirtualLoop(VirtualNetwork(topology))
        add_destinations(_ignore)
        try:
            return loop.run_until_complete(self._run(topology))
        finally:
            remove_destination(_ignore)
            _abandon(loop)

    async def _run(self, topology: Topology) -> RunRecord:
        has_owners = self._variant is not Variant.CONSISTENT_HASHING
        machines = Machines(self._installation, topology, self._seed, has_owners)
        machines.start_servers()
        hosts: ControlPlaneHosts | HashingHosts
        source: OwnershipSource
        if has_owners:
            hosts = ControlPlaneHosts(machines, self._variant, self._tree_directory)
            source = GrantedOwnership(hosts, machines.registry)
        else:
            hosts = HashingHosts(machines, self._tree_directory)
            source = HashedOwnership(hosts, machines.registry)
        await hosts.start()
        meter = OwnershipMeter(source, machines.registry, self._key_places())
        generator = LoadGenerator(machines, hosts.entries)
        began_s = asyncio.get_running_loop().time()
        tasks = [
            asyncio.ensure_future(_measure(meter, began_s + WARM_UP_S, began_s + END_S)),
            *(asyncio.ensure_future(_happen(machines, each)) for each in self._scenario.events),
        ]
        await generator.run([*calm_streams(self._installation), *self._scenario.extra])
        for task in tasks:
            await task
        return RunRecord(
            installation=self._installation,
            variant=self._variant,
            seed=self._seed,
            scenario=self._scenario.name,
            measured_from_s=began_s + WARM_UP_S,
            measured_to_s=began_s + END_S,
            calls=generator.records,
            registry=machines.registry,
            meter=meter,
        )

    def _key_places(self) -> dict[str, KeyPlaces]:
        numbers = range(self._installation.keys_per_service)
        keys = [key_name(self._seed, number).encode() for number in numbers]
        return {each.name: KeyPlaces(keys) for each in self._installation.services}


async def _measure(meter: OwnershipMeter, from_s: float, to_s: float) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(from_s - loop.time())
    measuring = asyncio.ensure_future(meter.run())
    await asyncio.sleep(to_s - loop.time())
    measuring.cancel()


async def _happen(machines: Machines, event: ServerEvent) -> None:
    await asyncio.sleep(event.at_s)
    if event.kind is ServerEventKind.JOIN:
        machines.start_server(machines.installation.service(event.service))
        return
    server = machines.registry.of_service(event.service)[event.number]
    if event.kind is ServerEventKind.LOSS:
        await machines.lose_server(server)
    else:
        await machines.stop_server(server)


def _ignore(_message: dict[str, object]) -> None:
    """Drop a log message; the bench writes none."""


def _abandon(loop: VirtualLoop) -> None:
    """Cancel what is left of the processes and close the loop."""
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    if left:
        loop.run_until_complete(asyncio.wait(left, timeout=1.0))
    loop.close()
