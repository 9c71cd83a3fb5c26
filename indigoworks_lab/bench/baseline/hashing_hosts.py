"""The routers of the consistent-hashing baseline on simulated hosts."""

import asyncio
from pathlib import Path

from indigoworks.settings import SettingsResolver, parse_tree
from indigoworks_lab.bench.baseline.consistent_ring import ConsistentRing
from indigoworks_lab.bench.baseline.hashing_router import HashingRouter
from indigoworks_lab.bench.deployment.backend_link import BackendLink
from indigoworks_lab.bench.deployment.entry_host import EntryHost
from indigoworks_lab.bench.deployment.machines import Machines
from indigoworks_lab.bench.installation.installation import ZONES
from indigoworks_lab.bench.network.current_host import spawn_on

LISTED_AFTER_S = 3.0
"""Time in which every router has read the whole machine list."""


class HashingHosts:
    """The baseline's processes of one run.

    :ivar entries: the routers, as callers reach them.
    """

    def __init__(self, machines: Machines, tree_directory: Path) -> None:
        self.entries: list[EntryHost] = []
        self._machines = machines
        self._tree_file = tree_directory / machines.installation.tree_file
        self._routers: list[HashingRouter] = []

    async def start(self) -> None:
        """Start the routers and wait until they know the servers."""
        settings = SettingsResolver(parse_tree(self._tree_file.read_bytes()).unwrap())
        for number in range(self._machines.installation.routers):
            host = self._machines.new_host(ZONES[number % len(ZONES)])
            link = BackendLink(host, self._machines.registry, self._machines.topology)
            router = HashingRouter(self._machines.platform, self._machines.registry, link, settings)
            self._routers.append(router)
            self.entries.append(EntryHost(host, router))
            spawn_on(host, router.run())
        await asyncio.sleep(LISTED_AFTER_S)

    def ring(self, service: str) -> ConsistentRing | None:
        """Return the ring that the first router uses now."""
        return self._routers[0].ring(service)

    def owner(self, service: str, place: int) -> str:
        """Return the server that the first router sends a key's requests to."""
        return self._routers[0].owner(service, place)
