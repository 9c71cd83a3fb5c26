"""A group of consensus nodes in the simulator, watched from outside."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import detangle
from consensus_fakes import (
    DriftingClock,
    HistoryState,
    MemoryMachines,
    MemoryTable,
    TableFromOneHost,
)
from detangle import SimConfig

from indigoworks.common.address import Address
from indigoworks.consensus.consensus_node import ConsensusNode
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.wire.control_pb2 import Checkpoint, Command, Member, ReplaceSettings
from indigoworks.wire.rpc_server import RpcServer

PORT = 7000
LOOK_INTERVAL_S = 0.02
WAIT_LIMIT_S = 30.0
MAX_STEPS = 3_000_000
LONGEST_GRANT_S = 2.0
"""Longest time for which a leader under its quorum lease grants anything: the view lease."""
ROW = "groups/0/checkpoint"

Step = Callable[["Cluster"], Awaitable[None]]


class SafetyViolated(AssertionError):
    """Two nodes held the quorum lease at once, or two histories differ."""


class Cluster:
    """Nodes by name, the platform they share, and what was seen of them."""

    def __init__(self, size: int, zones: int, seed: int) -> None:
        self.table = MemoryTable()
        self.machines = MemoryMachines()
        self.nodes: dict[str, ConsensusNode] = {}
        self.states: dict[str, HistoryState] = {}
        self.names = [f"c{number}" for number in range(1, size + 1)]
        self.crashed: list[str] = []
        self.noted: dict[str, object] = {}
        self.lease_looks = 0
        self._zones = zones
        self._random = Random(seed)
        self._runs = 0
        self._led_until_s: dict[int, float] = {}
        self._acknowledged: list[tuple[float, int, int]] = []
        self.clocks: dict[str, DriftingClock] = {}
        self._committed: dict[tuple[int, int], str] = {}

    def start(self, name: str) -> None:
        """Start a process for `name`, with a new incarnation."""
        self._runs += 1
        member = Member(
            name=name,
            incarnation=f"{name}-run-{self._runs}",
            zone=f"z{int(name[1:]) % self._zones}",
            host=self.host(name),
            control_port=PORT,
        )
        self.machines.records[name] = MachineRecord(
            name, "controller", "", member.zone, member.host, PORT
        )
        detangle.spawn(self._process(member), host=member.host, name=member.incarnation)

    async def _process(self, member: Member) -> None:
        state = HistoryState()
        timing = ConsensusTiming(kept_entries=20)
        drift = self._random.uniform(-timing.clock_drift_ratio, timing.clock_drift_ratio)
        clock = DriftingClock(1 + drift, self._random.uniform(0, 1000))
        node = ConsensusNode(
            member,
            0,
            state,
            TableFromOneHost(self.table, member.name),
            self.machines,
            [Address(self.host(name), PORT) for name in self.names[:3]],
            clock,
            timing,
            Random(self._random.random()),
        )
        server = RpcServer(Address(member.host, PORT), node.handle)
        await server.start()
        self.nodes[member.name] = node
        self.states[member.name] = state
        self.clocks[member.name] = clock
        await node.run()
        await server.stop()

    def host(self, name: str) -> str:
        return f"10.0.0.{name[1:]}"

    def crash(self, name: str) -> None:
        detangle.network().crash(self.host(name))
        self.crashed.append(name)
        self.nodes.pop(name, None)
        self.states.pop(name, None)

    def restart(self, name: str) -> None:
        detangle.network().restart(self.host(name))
        self.crashed.remove(name)
        self.start(name)

    def cut_off(self, name: str) -> None:
        others = [self.host(other) for other in self.names if other != name]
        detangle.network().partition([self.host(name)], others)

    def leader(self) -> str | None:
        holders = [name for name, node in self.nodes.items() if node.holds_quorum_lease()]
        return holders[0] if holders else None

    def voters(self) -> set[str]:
        """Return the incarnations that vote, as the leader sees it."""
        leader = self.leader()
        if leader is None:
            return set()
        return {v.incarnation for v in self.nodes[leader].status.configuration.voters}

    def row(self) -> Checkpoint:
        return Checkpoint.FromString(self.table.rows[ROW].value)

    async def until(
        self, condition: Callable[[], bool], what: str, interval_s: float = LOOK_INTERVAL_S
    ) -> None:
        """Wait until the condition holds; fail after WAIT_LIMIT_S of simulated time."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + WAIT_LIMIT_S
        while not condition():
            if loop.time() > limit:
                seen = [str(node.status) for node in self.nodes.values()]
                raise AssertionError(f"never seen: {what}\n" + "\n".join(seen))
            await asyncio.sleep(interval_s)

    async def until_leader(self, other_than: str | None = None) -> str:
        await self.until(lambda: self.leader() not in (None, other_than), "a leader")
        leader = self.leader()
        assert leader is not None
        return leader

    async def commit(self, text: str) -> None:
        """Commit a command through whichever node leads, sending it again where that is safe."""
        command = Command(replace_settings=ReplaceSettings(change_id=text))
        for _ in range(100):
            leader = await self.until_leader()
            committed = await self.nodes[leader].propose(command)
            if committed.is_ok():
                self.note_commit(leader, committed.unwrap())
                return
            await asyncio.sleep(0.1)
        raise AssertionError(f"never committed: {text}")

    def note_commit(self, name: str, index: int) -> None:
        """Remember when a command was acknowledged, and in which generation."""
        now_s = asyncio.get_running_loop().time()
        self._acknowledged.append((now_s, self.nodes[name].status.generation, index))

    async def watch(self) -> None:
        """Check after every short while what must hold at every moment."""
        while True:
            self.check_safety()
            await asyncio.sleep(LOOK_INTERVAL_S / 2)

    def check_safety(self) -> None:
        holders = [name for name, node in self.nodes.items() if node.holds_quorum_lease()]
        self.lease_looks += len(holders)
        if len(holders) > 1:
            raise SafetyViolated(f"quorum lease held by {holders}")
        self._check_generations(holders)
        self._check_confirmations()
        for name, node in self.nodes.items():
            status = node.status
            # A node that has entered a generation shows its old state until it has a new one.
            newest = self.states[name].applied[-5:] if status.applied_index else []
            for index, text in newest:
                known = self._committed.setdefault((status.generation, index), text)
                if known != text:
                    raise SafetyViolated(f"{name} applied {text} at {index}, not {known}")

    def _check_generations(self, holders: list[str]) -> None:
        """Check that what an earlier generation granted has lapsed when a later one leads."""
        now_s = asyncio.get_running_loop().time()
        for name in holders:
            generation = self.nodes[name].status.generation
            self._led_until_s[generation] = now_s
            for earlier, led_until_s in self._led_until_s.items():
                if earlier < generation and now_s - led_until_s < LONGEST_GRANT_S:
                    raise SafetyViolated(f"generation {generation} too soon after {earlier}")

    def _check_confirmations(self) -> None:
        """Check that each node has applied what was acknowledged before its confirmation."""
        for name, node in self.nodes.items():
            confirmed_at_s = node.confirmed_at_s()
            if confirmed_at_s is None:
                continue
            true_time_s = self.clocks[name].true_time_s(confirmed_at_s)
            applied = (node.status.generation, node.status.applied_index)
            for acknowledged_at_s, generation, index in self._acknowledged[-50:]:
                if acknowledged_at_s < true_time_s and (generation, index) > applied:
                    raise SafetyViolated(f"{name} lacks {index}, acknowledged before it confirmed")


def run_script(size: int, zones: int, seed: int, script: list[Step]) -> None:
    """Run a group through the steps of a script, watched all the time."""

    async def main() -> None:
        cluster = Cluster(size, zones, seed)
        watching = asyncio.create_task(cluster.watch())
        for name in cluster.names:
            cluster.start(name)
        for step in script:
            await step(cluster)
            if watching.done():
                watching.result()
        cluster.check_safety()
        assert cluster.lease_looks, "no look ever found a leader"
        watching.cancel()

    config = SimConfig(max_steps=MAX_STEPS)
    detangle.run(main, seed=seed, config=config)
