"""Faults of nodes and of the paths between them."""

import asyncio

from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.fault_kind import PATH_KINDS, FaultKind
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.simulated_store import STORE

STOP_S = 1.0
LOSS = 0.5
CALM_LOSS = 0.02
SLOW_S = 0.25

OF_LEADER = frozenset(
    {
        FaultKind.LEADER_CUT_FROM_STORE,
        FaultKind.LEADER_CUT_FROM_PEERS,
        FaultKind.LEADER_KILLED,
        FaultKind.LEADER_STOPPED,
        FaultKind.LEADER_FROZEN,
        FaultKind.LEADER_SUSPENDED,
        FaultKind.LEADER_FROZEN_BEFORE_BYTES,
        FaultKind.LEADER_LATE_BEFORE_BYTES,
        FaultKind.LEADER_CUT_FROM_SERVERS,
    }
)
BEFORE_BYTES = frozenset({FaultKind.LEADER_FROZEN_BEFORE_BYTES, FaultKind.LEADER_LATE_BEFORE_BYTES})
STALLED_RATIO = 0.2
"""Share of a leader's orders before whose bytes its process stands still."""

CHAIN_PAUSE_S = (0.6, 2.5)
"""Time from the loss of one leader to that of the next."""

AWAY_S = (0.4, 4.0)
"""Time for which a leader of a chain is away."""


class NodeFaultActions:
    """Begins and ends a fault of one node, or of all."""

    def __init__(self, deployment: ControlDeployment) -> None:
        self._deployment = deployment
        self._links = deployment.links
        self._random = deployment.random("node faults")

    async def act(self, kind: FaultKind, duration_s: float) -> None:
        """Let a fault act for its time."""
        if kind is FaultKind.DATAGRAMS_LOST:
            self._links.datagram_loss = LOSS
            await asyncio.sleep(duration_s)
            self._links.datagram_loss = CALM_LOSS
            return
        if kind is FaultKind.ALL_NODES_KILLED:
            nodes = self._deployment.living_nodes()
            await asyncio.gather(*(self._kill(node, duration_s) for node in nodes))
            return
        if kind is FaultKind.LEADERS_LOST_IN_CHAIN:
            await self._lose_leaders(duration_s)
            return
        node = self._pick(kind)
        if node is None:
            return
        if kind in (FaultKind.NODE_CUT_FROM_STORE, FaultKind.LEADER_CUT_FROM_STORE):
            await self._cut(node, [STORE], duration_s)
        elif kind in (FaultKind.NODE_CUT_FROM_PEERS, FaultKind.LEADER_CUT_FROM_PEERS):
            others = [name for name in self._deployment.nodes if name != node.name]
            await self._cut(node, others, duration_s)
        elif kind in PATH_KINDS:
            await self._cut_from_servers(node, duration_s)
        elif kind in (FaultKind.NODE_KILLED, FaultKind.LEADER_KILLED):
            await self._kill(node, duration_s)
        elif kind is FaultKind.LEADER_STOPPED:
            await self._stop(node, duration_s)
        elif kind in BEFORE_BYTES:
            node.stall.is_freeze = kind is FaultKind.LEADER_FROZEN_BEFORE_BYTES
            node.stall.ratio = STALLED_RATIO
            await asyncio.sleep(duration_s)
            node.stall.ratio = 0.0
        elif kind is FaultKind.MACHINES_SLOW:
            self._links.slow_s[node.name] = SLOW_S
            await asyncio.sleep(duration_s)
            self._links.slow_s.pop(node.name, None)
        else:
            await self._freeze(node, duration_s, kind)

    def _pick(self, kind: FaultKind) -> SimulatedNode | None:
        leader = self._deployment.leader() if kind in OF_LEADER else None
        nodes = self._deployment.living_nodes()
        if leader is not None:
            return leader
        if kind is FaultKind.NODE_CLOCK_STOPS:
            leader = self._deployment.leader()
            nodes = [node for node in nodes if node is not leader]
        return self._random.choice(nodes) if nodes else None

    async def _cut(self, node: SimulatedNode, others: list[str], duration_s: float) -> None:
        for other in others:
            self._links.cut(node.name, other)
        await asyncio.sleep(duration_s)
        for other in others:
            self._links.heal(node.name, other, self._deployment.loop.time())

    async def _cut_from_servers(self, node: SimulatedNode, duration_s: float) -> None:
        """Cut a node, and perhaps others but not all, from the addresses of all servers."""
        others = [each for each in self._deployment.living_nodes() if each is not node]
        count = self._random.randint(0, max(0, len(others) - 1))
        addresses = [str(each.address) for each in self._deployment.fleet.up()]
        nodes = [node, *self._random.sample(others, count)]
        await asyncio.gather(*(self._cut(each, addresses, duration_s) for each in nodes))

    async def _lose_leaders(self, duration_s: float) -> None:
        """Lose leader after leader: killed, cut off or stopped; one that was cut off may lead
        again."""
        loop = self._deployment.loop
        until_s = loop.time() + duration_s
        losses = []
        while loop.time() < until_s:
            leader = self._deployment.leader()
            if leader is not None:
                away_s = min(self._random.uniform(*AWAY_S), max(0.0, until_s - loop.time()))
                loss = self._random.choice((self._kill, self._cut_off, self._stop))
                losses.append(run_outside(loop, loss(leader, away_s)))
            await asyncio.sleep(self._random.uniform(*CHAIN_PAUSE_S))
        await asyncio.gather(*losses)

    async def _cut_off(self, node: SimulatedNode, duration_s: float) -> None:
        others = [name for name in self._deployment.nodes if name != node.name]
        await self._cut(node, [STORE, *others], duration_s)

    async def _kill(self, node: SimulatedNode, duration_s: float) -> None:
        """Kill a process; a new one starts on its machine after the time."""
        if not node.process.is_alive:
            return
        node.process.kill(is_silent=True)
        await asyncio.sleep(duration_s)
        self._deployment.restart_node(node.name)

    async def _stop(self, node: SimulatedNode, duration_s: float) -> None:
        node.process.spawn(node.control.leadership.resign())
        await asyncio.sleep(min(STOP_S, duration_s))
        await self._kill(node, max(0.0, duration_s - STOP_S))

    async def _freeze(self, node: SimulatedNode, duration_s: float, kind: FaultKind) -> None:
        if node.process.is_frozen:
            return
        node.process.freeze()
        await asyncio.sleep(duration_s)
        if kind is FaultKind.NODE_CLOCK_STOPS:
            node.clock.stand_still(duration_s)
        elif kind is FaultKind.LEADER_SUSPENDED:
            node.clock.note_suspended(duration_s)
        if node.process.is_alive:
            self._links.note_thaw(node.name, self._deployment.loop.time())
            node.process.thaw()
