"""Faults of processes: kills, freezes, planned stops."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from indigoworks_lab.checkers.history.departure import Departure
from indigoworks_lab.checkers.history.loss import Loss
from indigoworks_lab.checkers.history.planned_stop import PlannedStop
from indigoworks_lab.simulation.controller_host import ControllerHost
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.faults.fault_group import EndFault
from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.ports.simulated_server import SimulatedServer
from indigoworks_lab.simulation.router_host import RouterHost

STOP_PATIENCE_S = 12.0
"""Time after which a planned stop is ended by force, as operators do."""

DRAIN_CHECK_S = 0.1
OUTGOING_HELD_RATIO = 0.5
"""Share of the freezes that also hold back what the process has just sent. To the others this
looks like a freeze between the process's last check and its send."""


class ProcessFaults:
    """Kills, freezes and stops controllers, routers and back ends."""

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self._deployment = deployment
        self._random = random
        self._history = deployment.simulation.recorder.history
        self._replacements = 0
        self._beginnings: dict[FaultKind, Callable[[], Awaitable[EndFault | None]]] = {
            FaultKind.CONTROLLER_KILLED: self._kill_controller,
            FaultKind.CONTROLLER_REPLACED: self._replace_controller,
            FaultKind.CONTROLLER_FROZEN: self._freeze_controller,
            FaultKind.CONTROLLER_STOPPED: self._stop_controller,
            FaultKind.LEADER_KILLED: self._kill_leader,
            FaultKind.LEADER_FROZEN: self._freeze_leader,
            FaultKind.MAJORITY_KILLED: self._kill_majority,
            FaultKind.ALL_CONTROLLERS_KILLED: self._kill_all_controllers,
            FaultKind.ROUTER_KILLED: self._kill_router,
            FaultKind.ROUTER_FROZEN: self._freeze_router,
            FaultKind.ROUTER_STOPPED: self._stop_router,
            FaultKind.SERVER_KILLED: self._kill_server,
            FaultKind.SERVER_MACHINE_LOST: self._lose_server_machine,
            FaultKind.SERVER_FROZEN: self._freeze_server,
            FaultKind.SERVER_CUT: self._cut_server,
            FaultKind.SERVER_AND_LEADER_KILLED: self._kill_server_and_leader,
            FaultKind.SERVER_KILLED_PLATFORM_DOWN: self._kill_server_platform_down,
            FaultKind.SERVER_DRAINED: self._drain_server,
        }

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a fault of a process."""
        beginning = self._beginnings.get(kind)
        return await beginning() if beginning is not None else None

    # ---- controllers ----

    async def _kill_controller(self) -> EndFault | None:
        host = self._pick_controller()
        return self._kill_controllers([host]) if host is not None else None

    async def _kill_leader(self) -> EndFault | None:
        leader = self._deployment.leader()
        if leader is None or leader.process.is_frozen:
            return None
        return self._kill_controllers([leader])

    async def _kill_majority(self) -> EndFault | None:
        hosts = self._live_controllers()
        majority = len(self._deployment.controllers) // 2 + 1
        return self._kill_controllers(self._random.sample(hosts, min(majority, len(hosts))))

    async def _kill_all_controllers(self) -> EndFault | None:
        return self._kill_controllers(self._live_controllers())

    def _kill_controllers(self, hosts: list[ControllerHost]) -> EndFault | None:
        is_silent = self._random.random() < 0.5
        for host in hosts:
            host.process.kill(is_silent)

        async def restart() -> None:
            for host in hosts:
                name = host.settings.name
                self._deployment.start_controller(name, self._deployment.position_of(name))

        return restart if hosts else None

    async def _replace_controller(self) -> EndFault | None:
        host = self._pick_controller()
        if host is None:
            return None
        host.process.kill(is_silent=True)
        name = host.settings.name
        del self._deployment.controllers[name]

        async def replace() -> None:
            self._deployment.unlist(name)
            self._replacements += 1
            new_name = f"controller-r{self._replacements}"
            position = self._deployment.free_position(name)
            self._deployment.start_controller(new_name, position)

        return replace

    async def _freeze_controller(self) -> EndFault | None:
        host = self._pick_controller()
        return self._freeze(host.process) if host is not None else None

    async def _freeze_leader(self) -> EndFault | None:
        leader = self._deployment.leader()
        if leader is None or leader.process.is_frozen:
            return None
        return self._freeze(leader.process)

    async def _stop_controller(self) -> EndFault | None:
        host = self._pick_controller()
        if host is None:
            return None
        stop = PlannedStop(host.settings.name, self._deployment.simulation.now_s())
        self._history.planned_stops.append(stop)
        name = host.settings.name
        host.is_stopping = True
        await self._stop_process(host.process, host.controller.stop(), stop)

        async def restart() -> None:
            self._deployment.start_controller(name, self._deployment.position_of(name))

        return restart

    def _pick_controller(self) -> ControllerHost | None:
        hosts = [host for host in self._live_controllers() if not host.process.is_frozen]
        return self._random.choice(hosts) if hosts else None

    def _live_controllers(self) -> list[ControllerHost]:
        hosts = self._deployment.controllers.values()
        return [host for host in hosts if host.process.is_alive and not host.is_stopping]

    # ---- routers ----

    async def _kill_router(self) -> EndFault | None:
        host = self._pick_router()
        if host is None:
            return None
        host.process.kill(is_silent=self._random.random() < 0.5)
        return self._restart_router(host)

    async def _freeze_router(self) -> EndFault | None:
        host = self._pick_router()
        return self._freeze(host.process) if host is not None else None

    async def _stop_router(self) -> EndFault | None:
        host = self._pick_router()
        if host is None:
            return None
        stop = PlannedStop(host.settings.name, self._deployment.simulation.now_s())
        self._history.planned_stops.append(stop)
        host.is_stopping = True
        await self._stop_process(host.process, host.router.stop(), stop)
        return self._restart_router(host)

    def _restart_router(self, host: RouterHost) -> EndFault:
        name = host.settings.name

        async def restart() -> None:
            self._deployment.start_router(name, self._deployment.position_of(name))

        return restart

    def _pick_router(self) -> RouterHost | None:
        hosts = [
            host
            for host in self._deployment.routers.values()
            if host.process.is_alive and not host.process.is_frozen and not host.is_stopping
        ]
        return self._random.choice(hosts) if hosts else None

    # ---- back ends ----

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
        network = server.process.network
        own = server.process.host
        others = [host for host in network.hosts if host != own]
        for other in others:
            network.cut_way(own, other)
            network.cut_way(other, own)

        async def heal() -> None:
            for other in others:
                network.heal_way(own, other)
                network.heal_way(other, own)

        return heal

    async def _kill_server_and_leader(self) -> EndFault | None:
        end_leader = await self._kill_leader()
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
        return self._freeze(server.process)

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
        while server.process.is_alive and not server.core.is_empty:
            await asyncio.sleep(DRAIN_CHECK_S)
        server.kill(is_silent=False)

    def _restart_server(self, server: SimulatedServer) -> EndFault:
        name = server.core.identity.name
        service = server.core.identity.service

        async def restart() -> None:
            while server.process.is_alive:
                await asyncio.sleep(DRAIN_CHECK_S)
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

    # ---- all ----

    def _freeze(self, process: SimulatedProcess) -> EndFault:
        is_outgoing_held = self._random.random() < OUTGOING_HELD_RATIO
        network = process.network
        others = [host for host in network.hosts if host != process.host]
        process.freeze()
        if is_outgoing_held:
            for other in others:
                network.cut_way(process.host, other)

        async def thaw() -> None:
            process.thaw()
            if is_outgoing_held:
                for other in others:
                    network.heal_way(process.host, other)

        return thaw

    async def _stop_process(
        self, process: SimulatedProcess, stopping: Awaitable[None], stop: PlannedStop
    ) -> None:
        task = process.spawn(_as_coroutine(stopping))
        await asyncio.wait({task}, timeout=STOP_PATIENCE_S)
        stop.ended_s = self._deployment.simulation.now_s()
        process.end()


async def _as_coroutine(work: Awaitable[None]) -> None:
    await work


def _both(first: EndFault, second: EndFault | None) -> EndFault:
    async def end() -> None:
        await first()
        if second is not None:
            await second()

    return end
