"""All simulated servers and their entries in the store."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from indigoworks.common.address import Address
from indigoworks_lab.control_simulation.links import Links
from indigoworks_lab.control_simulation.server_entry import SERVERS_TABLE, encode_server
from indigoworks_lab.control_simulation.server_listener import ServerListener
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.simulated_store import SimulatedStore

HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
DRAIN_S = 2.0
MAX_LONGER_S = 6.0
REAP_PERIOD_S = 0.25
MAX_SLOW_CLOCK = 1.02


class ServerFleet:
    """Starts and ends servers; each writes its entry every HEARTBEAT_S.

    An entry that was not written for SILENT_HEARTBEATS disappears, also while the store is down.

    :ivar forgets_releases: servers that start do not remember the tokens of releases.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        links: Links,
        store: SimulatedStore,
        listener: ServerListener,
        random: Random,
        run: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self.forgets_releases = False
        self.servers: dict[str, SimulatedServer] = {}
        self._loop = loop
        self._links = links
        self._store = store
        self._listener = listener
        self._random = random
        self._run = run
        self._by_address: dict[str, SimulatedServer] = {}
        self._written_s: dict[str, float] = {}
        self._sequences: dict[str, int] = {}
        self._silent: set[str] = set()
        self._number = 0

    def start(self, address: Address | None = None) -> SimulatedServer:
        """Start a server at an address, or at a new one."""
        self._number += 1
        server = SimulatedServer(
            f"s{self._number}",
            address or Address("10.0.1.1", 9000 + self._number),
            self._random.choice((2, 3, 4)),
            self._random.choice((1.0, MAX_SLOW_CLOCK, self._random.uniform(1.0, MAX_SLOW_CLOCK))),
            self._loop,
            self._listener,
            self.forgets_releases,
        )
        self.servers[server.server_id] = server
        self._by_address[str(server.address)] = server
        self._run(self._heartbeat(server))
        return server

    def at(self, address: str) -> SimulatedServer | None:
        """Return the server that listens at an address."""
        server = self._by_address.get(address)
        return server if server is not None and server.is_up else None

    def up(self) -> list[SimulatedServer]:
        """Return the servers that run."""
        return [each for each in self.servers.values() if each.is_up]

    def stable(self) -> list[SimulatedServer]:
        """Return the servers that run and are not leaving."""
        return [
            each
            for each in self.up()
            if not each.is_draining and each.server_id not in self._silent
        ]

    async def drain(self, server: SimulatedServer) -> None:
        """Announce the end, serve on for a time, and end."""
        server.is_draining = True
        self._write(server)
        await asyncio.sleep(DRAIN_S + self._random.uniform(0.0, MAX_LONGER_S))
        await server.queue.turn()
        server.end()
        self._remove(server.server_id)

    async def vanish(self, server: SimulatedServer) -> None:
        """Take the entry back without a word, serve on for a time, and end."""
        self._silent.add(server.server_id)
        self._remove(server.server_id)
        await asyncio.sleep(DRAIN_S + self._random.uniform(0.0, MAX_LONGER_S))
        await server.queue.turn()
        server.end()

    async def reap(self) -> None:
        """Remove the entries of silent servers, for ever."""
        while True:
            await asyncio.sleep(REAP_PERIOD_S)
            earliest_s = self._loop.time() - SILENT_HEARTBEATS * HEARTBEAT_S
            for server_id, at_s in list(self._written_s.items()):
                if at_s < earliest_s:
                    self._remove(server_id)

    def beat(self, server: SimulatedServer) -> None:
        """Write a server's entry now."""
        self._write(server)

    def hush(self, server: SimulatedServer) -> None:
        """Let a server write its entry no more."""
        self._silent.add(server.server_id)

    def note_return(self) -> None:
        """Count the silence of each server whose entry the store has from its copy from now on."""
        for row in self._store.rows.read(SERVERS_TABLE, "").rows:
            self._written_s[row.key] = self._loop.time()

    async def _heartbeat(self, server: SimulatedServer) -> None:
        while server.is_up and server.server_id not in self._silent:
            self._write(server)
            await asyncio.sleep(HEARTBEAT_S * self._random.uniform(0.9, 1.0))

    def _write(self, server: SimulatedServer) -> None:
        if server.queue.is_paused or not self._store.is_reachable(str(server.address)):
            return
        sequence = self._sequences[server.server_id] = self._sequences.get(server.server_id, 0) + 1
        self._store.rows.put(SERVERS_TABLE, server.server_id, encode_server(server, sequence))
        self._written_s[server.server_id] = self._loop.time()

    def _remove(self, server_id: str) -> None:
        self._written_s.pop(server_id, None)
        self._store.rows.remove(SERVERS_TABLE, server_id)
