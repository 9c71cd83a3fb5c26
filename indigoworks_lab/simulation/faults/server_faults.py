"""Faults of back ends."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from indigoworks_lab.checkers.history.departure import Departure
from indigoworks_lab.checkers.history.loss import Loss
from indigoworks_lab.simulation.core.poll_until import poll_until
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.faults.controller_faults import ControllerFaults
from indigoworks_lab.simulation.faults.fault_group import EndFault
from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.faults.process_actions import ProcessActions
from indigoworks_lab.simulation.ports.simulated_server import SimulatedServer

DRAIN_LIMIT_S = 15.0
"""Time after which a server that was told to leave ends, though it was not emptied."""


class ServerFaults:
    """Kills, freezes, cuts off and drains back ends."""

    def __init__(
        self, deployment: Deployment, random: Random, controllers: ControllerFaults
    ) -> None:
        self._deployment = deployment
        self._random = random
        self._history = deployment.simulation.recorder.history
        self._actions = ProcessActions(deployment.simulation, random)
        self._controllers = controllers
        self._beginnings: dict[FaultKind, Callable[[], Awaitable[EndFault | None]]] = {
            FaultKind.SERVER_KILLED: self._kill_server,
            FaultKind.SERVER_MACHINE_LOST: self._lose_server_machine,
            FaultKind.SERVER_FROZEN: self._freeze_server,
            FaultKind.SERVER_CUT: self._cut_server,
            FaultKind.SERVER_AND_LEADER_KILLED: self._kill_server_and_leader,
            FaultKind.SERVER_KILLED_PLATFORM_DOWN: self._kill_server_platform_down,
            FaultKind.SERVER_DRAINED: self._drain_server,
        }

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a fault of this group."""
        beginning = self._beginnings.get(kind)
        return await beginning() if beginning is not None else None

    async def _kill_server(self) -> EndFault | None:
        return self._lose_server("server killed", is_silent=False)

    async def _lose_server_machine(self) -> EndFault | None:
        return self._lose_server("server lost with its machine", is_silent=True)

    def _lose_server(self, kind: str, is_silent: bool) -> EndFault | None:
        server = self._pick_server()
        if server is None:
            return None
        self._record_loss(kind, server)
        server.kill(is_silent)
        return self._restart_server(server)

    async def _cut_server(self) -> EndFault | None:
        server = self._pick_server()
        if server is None:
            return None
        self._record_loss("server cut off", server)
        return self._actions.cut_off(server.process, is_both_ways=True)

    async def _kill_server_and_leader(self) -> EndFault | None:
        end_leader = await self._controllers.kill_leader()
        if end_leader is None:
            return None
        end_server = self._lose_server("server and leader killed together", is_silent=False)
        return _both(end_leader, end_server)

    async def _kill_server_platform_down(self) -> EndFault | None:
        platform = self._deployment.platform
        platform.is_down = True

        async def end_outage() -> None:
            platform.is_down = False

        kind = "server killed while the platform is down"
        return _both(end_outage, self._lose_server(kind, is_silent=False))

    async def _freeze_server(self) -> EndFault | None:
        server = self._pick_server()
        if server is None:
            return None
        self._record_loss("server frozen", server)
        return self._actions.freeze(server.process)

    async def _drain_server(self) -> EndFault | None:
        server = self._pick_server()
        if server is None:
            return None
        server.is_leaving = True
        now_s = self._deployment.simulation.now_s()
        process = server.process
        self._history.departures.append(Departure(process.name, process.number, now_s))
        self._record_loss("server drained", server)
        server.core.drain()
        process.spawn_harness(self._end_when_empty(server))
        return self._restart_server(server)

    async def _end_when_empty(self, server: SimulatedServer) -> None:
        """End the server once it is empty, or after DRAIN_LIMIT_S: a machine does not wait."""
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await poll_until(lambda: server.core.is_empty or not server.process.is_alive)
        except TimeoutError:
            pass
        server.kill(is_silent=False)

    def _restart_server(self, server: SimulatedServer) -> EndFault:
        name = server.core.identity.name
        service = server.core.identity.service

        async def restart() -> None:
            await poll_until(lambda: not server.process.is_alive)
            self._deployment.start_server(name, service, self._deployment.position_of(name))

        return restart

    def _pick_server(self) -> SimulatedServer | None:
        servers = [
            server
            for server in self._deployment.servers.values()
            if server.process.is_alive and not server.process.is_frozen and not server.is_leaving
        ]
        return self._random.choice(servers) if servers else None

    def _record_loss(self, kind: str, server: SimulatedServer) -> None:
        now_s = self._deployment.simulation.now_s()
        process = server.process
        self._history.losses.append(Loss(kind, process.name, process.number, now_s))


def _both(first: EndFault, second: EndFault | None) -> EndFault:
    async def end() -> None:
        await first()
        if second is not None:
            await second()

    return end
