"""Faults of controllers."""

from collections.abc import Awaitable, Callable
from random import Random

from indigoworks_lab.checkers.history.planned_stop import PlannedStop
from indigoworks_lab.simulation.controller_host import ControllerHost
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.faults.fault_group import EndFault
from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.faults.process_actions import ProcessActions

ONE_CONTROLLER_RATIO = 0.4
BOTH_WAYS_RATIO = 0.7


class ControllerFaults:
    """Kills, freezes, cuts off, stops and replaces controllers."""

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self._deployment = deployment
        self._random = random
        self._history = deployment.simulation.recorder.history
        self._actions = ProcessActions(deployment.simulation, random)
        self._replacements = 0
        self._beginnings: dict[FaultKind, Callable[[], Awaitable[EndFault | None]]] = {
            FaultKind.CONTROLLER_KILLED: self._kill_controller,
            FaultKind.CONTROLLER_REPLACED: self._replace_controller,
            FaultKind.CONTROLLER_FROZEN: self._freeze_controller,
            FaultKind.CONTROLLER_STOPPED: self._stop_controller,
            FaultKind.LEADER_KILLED: self.kill_leader,
            FaultKind.LEADER_FROZEN: self._freeze_leader,
            FaultKind.LEADER_STOPPED: self._stop_leader,
            FaultKind.LEADER_CUT: self._cut_leader,
            FaultKind.LEADER_SPLIT_OFF: self._split_leader_off,
            FaultKind.MAJORITY_KILLED: self._kill_majority,
            FaultKind.ALL_CONTROLLERS_KILLED: self._kill_all_controllers,
        }

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a fault of this group."""
        beginning = self._beginnings.get(kind)
        return await beginning() if beginning is not None else None

    async def _kill_controller(self) -> EndFault | None:
        host = self._pick_controller()
        return self._kill_controllers([host]) if host is not None else None

    async def kill_leader(self) -> EndFault | None:
        """Kill the leader, if there is one, and start it again at the end."""
        leader = self._deployment.leader()
        if leader is None or leader.process.is_frozen or leader.is_stopping:
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
        return self._actions.freeze(host.process) if host is not None else None

    async def _freeze_leader(self) -> EndFault | None:
        leader = self._deployment.leader()
        if leader is None or leader.process.is_frozen or leader.is_stopping:
            return None
        return self._actions.freeze(leader.process)

    async def _cut_leader(self) -> EndFault | None:
        leader = self._deployment.leader()
        if leader is None:
            return None
        return self._actions.cut_off(
            leader.process, is_both_ways=self._random.random() < BOTH_WAYS_RATIO
        )

    async def _split_leader_off(self) -> EndFault | None:
        """Cut other controllers off from the leader and from servers that the leader reaches."""
        leader = self._deployment.leader()
        if leader is None:
            return None
        others = [host.process for host in self._live_controllers() if host is not leader]
        if not others:
            return None
        if self._random.random() < ONE_CONTROLLER_RATIO:
            others = [self._random.choice(others)]
        servers = [server.process for server in self._deployment.servers.values()]
        kept = self._random.sample(servers, len(servers) // 2)
        is_both_ways = self._random.random() < BOTH_WAYS_RATIO
        return self._actions.cut_between([leader.process, *kept], others, is_both_ways)

    async def _stop_controller(self) -> EndFault | None:
        host = self._pick_controller()
        return await self._stop(host) if host is not None else None

    async def _stop_leader(self) -> EndFault | None:
        leader = self._deployment.leader()
        if leader is None or leader.process.is_frozen or leader.is_stopping:
            return None
        return await self._stop(leader)

    async def _stop(self, host: ControllerHost) -> EndFault:
        stop = PlannedStop(host.settings.name, self._deployment.simulation.now_s())
        self._history.planned_stops.append(stop)
        name = host.settings.name
        host.is_stopping = True
        await self._actions.stop(host.process, host.controller.stop(), stop)

        async def restart() -> None:
            self._deployment.start_controller(name, self._deployment.position_of(name))

        return restart

    def _pick_controller(self) -> ControllerHost | None:
        hosts = [host for host in self._live_controllers() if not host.process.is_frozen]
        return self._random.choice(hosts) if hosts else None

    def _live_controllers(self) -> list[ControllerHost]:
        hosts = self._deployment.controllers.values()
        return [host for host in hosts if host.process.is_alive and not host.is_stopping]
