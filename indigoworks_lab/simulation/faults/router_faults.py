"""Faults of routers."""

from collections.abc import Awaitable, Callable
from random import Random

from indigoworks_lab.checkers.history.planned_stop import PlannedStop
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.faults.fault_group import EndFault
from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.faults.process_actions import ProcessActions
from indigoworks_lab.simulation.router_host import RouterHost


class RouterFaults:
    """Kills, freezes and stops routers."""

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self._deployment = deployment
        self._random = random
        self._history = deployment.simulation.recorder.history
        self._actions = ProcessActions(deployment.simulation, random)
        self._beginnings: dict[FaultKind, Callable[[], Awaitable[EndFault | None]]] = {
            FaultKind.ROUTER_KILLED: self._kill_router,
            FaultKind.ROUTER_FROZEN: self._freeze_router,
            FaultKind.ROUTER_STOPPED: self._stop_router,
        }

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a fault of this group."""
        beginning = self._beginnings.get(kind)
        return await beginning() if beginning is not None else None

    async def _kill_router(self) -> EndFault | None:
        host = self._pick_router()
        if host is None:
            return None
        host.process.kill(is_silent=self._random.random() < 0.5)
        return self._restart_router(host)

    async def _freeze_router(self) -> EndFault | None:
        host = self._pick_router()
        return self._actions.freeze(host.process) if host is not None else None

    async def _stop_router(self) -> EndFault | None:
        host = self._pick_router()
        if host is None:
            return None
        stop = PlannedStop(host.settings.name, self._deployment.simulation.now_s())
        self._history.planned_stops.append(stop)
        host.is_stopping = True
        await self._actions.stop(host.process, host.router.stop(), stop)
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
