"""Faults of servers and of the orders to them."""

import asyncio

from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.simulated_store import STORE

LATE_RATIO = 0.15
LOST_RATIO = 0.3
BACKLOGS = (4, 16, 128)
"""Connections that the kernel of a paused server accepts."""

REORDERED_SHARE = 0.5
"""So often a server that goes on takes up what waited in another order than it arrived."""

MIN_STABLE = 2
MAX_SERVERS = 7


class ServerFaultActions:
    """Begins and ends a fault of one server; MIN_STABLE servers are always left alone."""

    def __init__(self, deployment: ControlDeployment) -> None:
        self._deployment = deployment
        self._fleet = deployment.fleet
        self._links = deployment.links
        self._random = deployment.random("server faults")

    async def act(self, kind: FaultKind, duration_s: float) -> None:
        """Let a fault act for its time."""
        faults = self._deployment.orders.faults
        if kind in (FaultKind.ORDERS_LATE, FaultKind.ORDERS_ALL_LATE):
            faults.late_ratio = LATE_RATIO if kind is FaultKind.ORDERS_LATE else 1.0
            await asyncio.sleep(duration_s)
            faults.late_ratio = 0.0
        elif kind is FaultKind.ORDERS_UNANSWERED:
            faults.lost_ratio = LOST_RATIO
            await asyncio.sleep(duration_s)
            faults.lost_ratio = 0.0
        elif kind is FaultKind.SERVER_ADDED:
            if len(self._fleet.up()) < MAX_SERVERS:
                self._fleet.start()
        else:
            stable = self._fleet.stable()
            if len(stable) > MIN_STABLE:
                await self._act_on(self._random.choice(stable), kind, duration_s)

    async def _act_on(self, server: SimulatedServer, kind: FaultKind, duration_s: float) -> None:
        address = str(server.address)
        if kind is FaultKind.SERVER_CRASHED:
            server.end()
        elif kind is FaultKind.SERVER_REPLACED:
            server.end()
            await asyncio.sleep(self._random.choice((0.05, 0.5, duration_s)))
            self._fleet.start(server.address)
        elif kind is FaultKind.SERVER_DRAINING:
            run_outside(self._deployment.loop, self._fleet.drain(server))
        elif kind is FaultKind.SERVER_VANISHED:
            run_outside(self._deployment.loop, self._fleet.vanish(server))
        elif kind is FaultKind.SERVER_DARK:
            self._links.darken(address)
            await asyncio.sleep(duration_s)
            self._links.lighten(address, self._deployment.loop.time())
        elif kind is FaultKind.SERVER_MISDIRECTED:
            server.is_misdirected = True
            await asyncio.sleep(duration_s)
            server.is_misdirected = False
        elif kind is FaultKind.SERVER_PAUSED:
            await self._pause(server, duration_s)
        else:
            await self._cut(address, self._other_end(kind), duration_s)

    def _other_end(self, kind: FaultKind) -> str:
        if kind is FaultKind.SERVER_CUT_FROM_STORE:
            return STORE
        leader = self._deployment.leader()
        if kind is FaultKind.SERVER_CUT_FROM_LEADER and leader is not None:
            return leader.name
        return self._random.choice(list(self._deployment.nodes))

    async def _pause(self, server: SimulatedServer, duration_s: float) -> None:
        is_reordered = self._random.random() < REORDERED_SHARE
        server.queue.pause(self._random.choice(BACKLOGS))
        await asyncio.sleep(duration_s)
        server.queue.resume(self._random if is_reordered else None)

    async def _cut(self, address: str, other: str, duration_s: float) -> None:
        self._links.cut(address, other)
        await asyncio.sleep(duration_s)
        self._links.heal(address, other, self._deployment.loop.time())
