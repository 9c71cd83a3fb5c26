"""A control group in the simulator, watched from outside."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import detangle
from control_log_fakes import (
    DriftingClock,
    HistoryState,
    MemoryTable,
    TableFromOneHost,
)
from detangle import SimConfig

from indigoworks.common.address import Address
from indigoworks.common.lease_bounds import MAX_CLOCK_DRIFT
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.controllog.log_timing import LogTiming
from indigoworks.platform.table_row import TableRow
from indigoworks.wire.control_pb2 import Checkpoint, Command, LeaderRow, Member, ReplaceSettings
from indigoworks.wire.rpc_server import RpcServer

PORT = 7000
LOOK_INTERVAL_S = 0.02
WAIT_LIMIT_S = 30.0
MAX_STEPS = 3_000_000
ROW = "groups/0/leader"
CHECKPOINT = "groups/0/checkpoint"

Step = Callable[["Cluster"], Awaitable[None]]


class SafetyViolated(AssertionError):
    """Two nodes held the leader lease at once, or two histories differ."""


class Cluster:
    """Nodes by name, the platform they share, and what was seen of them."""

    def __init__(self, size: int, seed: int) -> None:
        self.table = MemoryTable()
        self.nodes: dict[str, ControlLogNode] = {}
        self.states: dict[str, HistoryState] = {}
        self.names = [f"c{number}" for number in range(1, size + 1)]
        self.crashed: list[str] = []
        self.noted: dict[str, object] = {}
        self.lease_looks = 0
        self._random = Random(seed)
        self._runs = 0
        self._acknowledged: list[tuple[float, int, int]] = []
        self.clocks: dict[str, DriftingClock] = {}
        self._committed: dict[tuple[int, int], str] = {}
        self._reached: dict[str, int] = {}

    def start(self, name: str) -> None:
        """Start a process for `name`, with a new incarnation."""
        self._runs += 1
        member = Member(
            name=name,
            incarnation=f"{name}-run-{self._runs}",
            zone=f"z{name[1:]}",
            host=self.host(name),
            control_port=PORT,
        )
        detangle.spawn(self._process(member), host=member.host, name=member.incarnation)

    async def _process(self, member: Member) -> None:
        state = HistoryState()
        timing = LogTiming(kept_entries=20)
        drift = self._random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        clock = DriftingClock(1 + drift, self._random.uniform(0, 1000))
        node = ControlLogNode(
            member,
            0,
            state,
            TableFromOneHost(self.table, member.name),
            clock,
            timing,
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
        holders = [name for name, node in self.nodes.items() if node.holds_lease()]
        return holders[0] if holders else None

    def members(self) -> set[str]:
        """Return the names of the controllers in touch with the leader, as it tells them."""
        leader = self.leader()
        if leader is None:
            return set()
        return {member.name for member in self.nodes[leader].status.configuration.voters}

    def put_earlier_checkpoint(self, generation: int, texts: list[str]) -> None:
        """Put the row that a release before the control log has left, with its own fields."""
        lines = [f"{index} {text}" for index, text in enumerate(texts, start=1)]
        earlier = Checkpoint(
            generation=generation, last_index=len(lines), state="\n".join(lines).encode()
        )
        self.table.rows[CHECKPOINT] = TableRow(CHECKPOINT, earlier.SerializeToString(), 7)

    def row(self) -> LeaderRow:
        return LeaderRow.FromString(self.table.rows[ROW].value)

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
        holders = [name for name, node in self.nodes.items() if node.holds_lease()]
        self.lease_looks += len(holders)
        if len(holders) > 1:
            raise SafetyViolated(f"leader lease held by {holders}")
        self._check_confirmations()
        for name, node in self.nodes.items():
            status = node.status
            if status.commit_index < self._reached.get(status.member.incarnation, 0):
                raise SafetyViolated(f"{name} went back to {status.commit_index}")
            self._reached[status.member.incarnation] = status.commit_index
            for index, text in self.states[name].applied[-5:]:
                known = self._committed.setdefault((status.generation, index), text)
                if known != text:
                    raise SafetyViolated(f"{name} applied {text} at {index}, not {known}")

    def _check_confirmations(self) -> None:
        """Check that each node has applied what was acknowledged before its confirmation."""
        for name, node in self.nodes.items():
            confirmed_at_s = node.confirmed_at_s()
            if confirmed_at_s is None:
                continue
            true_time_s = self.clocks[name].true_time_s(confirmed_at_s)
            applied = (node.status.generation, node.status.commit_index)
            for acknowledged_at_s, generation, index in self._acknowledged[-50:]:
                if acknowledged_at_s < true_time_s and (generation, index) > applied:
                    raise SafetyViolated(f"{name} lacks {index}, acknowledged before it confirmed")


def run_script(size: int, seed: int, script: list[Step]) -> None:
    """Run a group through the steps of a script, watched all the time."""

    async def main() -> None:
        cluster = Cluster(size, seed)
        watching = asyncio.create_task(cluster.watch())
        for name in cluster.names:
            cluster.start(name)
        for step in script:
            try:
                await step(cluster)
            finally:
                # What the watch saw tells more than the step that then failed.
                if watching.done():
                    watching.result()
        cluster.check_safety()
        assert cluster.lease_looks, "no look ever found a leader"
        watching.cancel()

    config = SimConfig(max_steps=MAX_STEPS)
    detangle.run(main, seed=seed, config=config)
