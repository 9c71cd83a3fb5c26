"""A leader, its peers as witnesses, and links between them that steps cut; on virtual time."""

import asyncio

from gateway_control_world import SERVICE, ControlWorld, LossyRows
from result import Err
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.process_id import ProcessId
from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.witness_subsystem import WitnessSubsystem
from indigoworks.rowstore.errors import StoreUnreachable
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks_lab.control_simulation.run_control_seed import make_control_loop
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal

MAX_STEPS = 1_000_000
DELAY_S = 0.002
HOLD_S = 3.0
TIMEOUT_S = 0.8
ZONES = {"n1": "za", "n2": "zb", "n3": "zc", "n4": "za", "n5": "zb"}


def boot_of(node):
    return "boot-2" if node == "n1" else f"boot-{node}"


def process(node):
    return ProcessId(node, boot_of(node))


def owned(name, token=4):
    first = 100 * ord(name)
    return OwnedRange(first, first + 99, name, token)


class OutageRows(LossyRows):
    """Rows of a store that answers nothing while `is_out`; `lost` is set by a lost answer."""

    def __init__(self, lost_write, health, clock):
        super().__init__(lost_write, health, clock)
        self.is_out = False
        self.lost = asyncio.Event()

    async def follow(self, table, after, wait_s):
        result = await super().follow(table, after, wait_s)
        return Err(StoreUnreachable("No answer.", "Wait.")) if self.is_out else result

    async def commit(self, transaction):
        if self.is_out:
            return Err(StoreUnreachable("No answer.", "Wait."))
        result = await super().commit(transaction)
        if self.writes == self.lost_write and not self.lost.is_set():
            self.is_out = True
            self.lost.set()
        return result


class WitnessWorld(ControlWorld):
    """Process "n1" leads; nodes in `cut` neither send nor receive.

    :ivar parts: the part of each node that replicates grants.
    """

    def __init__(self, *nodes):
        super().__init__(0, LoopClock())
        self.store = OutageRows(0, self.health, self.clock)
        self.leadership._writer._store = self.follower._store = self.store
        self.cut = set()
        self.worlds = {node: ControlWorld(0, self.clock) for node in nodes}
        self.worlds["n1"] = self
        self.parts = {node: self._make_part(node, world) for node, world in self.worlds.items()}
        self.list_peers(*nodes)
        self.replicator = self.parts["n1"].replicator
        self.boots = {node: boot_of(node) for node in nodes}
        self.hearing = asyncio.ensure_future(self._hear(nodes))

    def _make_part(self, node, world):
        part = WitnessSubsystem(
            process(node),
            ZONES[node],
            world.leadership,
            world.bounds,
            world.reach,
            world.policy,
            world.peers,
            world.directory,
            lambda: [each.server_id for each in world.tables.table(SERVICE).ranges],
            world.servers.is_gone,
            self.clock,
        )
        part.send_datagram = lambda data, address: self._send(node, data, f"n{address.port}")
        return part

    def _send(self, source, data, target):
        if not {source, target} & self.cut:
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_S, lambda: self._receive(target, data))

    def _receive(self, node, data):
        if node not in self.cut:
            self.parts[node].handle_datagram(data)

    def list_peers(self, *nodes, boots=()):
        rows = []
        for node in ("n1", *nodes):
            address = Address("127.0.0.1", int(node[1:]))
            peer = PeerAddress(node, dict(boots).get(node, boot_of(node)), ZONES[node], address)
            self.version = getattr(self, "version", 0) + 1
            key = PEER_PREFIX + node
            rows.append(Row(CONTROL_TABLE, part_of(0), key, encode_peer(peer), at(self.version)))
        for world in self.worlds.values():
            world.directory.apply(rows)

    async def _hear(self, nodes):
        """Have the reports of all peers arrive, from the run of each node in `boots`."""
        sequence = 0
        while True:
            sequence += 1
            for node in nodes:
                if node not in self.cut:
                    report = PeerReport(node, self.boots[node], sequence, 3, 0.0, None, (), (), 0)
                    self.peers.record_report(report)
                    self.leadership.liveness.record_report(report)
            await asyncio.sleep(0.05)

    async def lead(self, *witnesses):
        """Lead epoch 3 with these witnesses; the store has answered once."""
        row = LeaderRow(3, "n1", "boot-2", NO_VERSION, tuple(map(process, witnesses)))
        self.store.put(LEADER_KEY, row.encode())
        self.bounds.start_epoch(float("-inf"))
        self.following = asyncio.ensure_future(self.follower.run())
        await asyncio.sleep(0.1)
        assert self.leadership.may_act()
        self.parts["n1"].replication.start(3, None, lambda grants: None)

    async def admit(self, name):
        """Return whether the server is admitted; it stays so if it is."""
        return await self.replicator.admit(name)

    async def grant(self, name, is_answered=True):
        assert await self.admit(name)
        self.bounds.record_sent(owned(name), HOLD_S, TIMEOUT_S)
        await asyncio.sleep(0.01)
        if is_answered:
            self.bounds.record_answered(owned(name), HOLD_S)
        else:
            self.bounds.record_unanswered(owned(name))
        self.replicator.settle(name)

    def record(self, node):
        """Return what a node keeps of epoch 3; None: nothing."""
        known = self.parts[node]._witness._records.get(3)
        return None if known is None else known.grants

    def listed(self, node):
        record = self.record(node)
        return set() if record is None else {each.server_id for each in record.servers}

    def named(self):
        """Return the nodes that the leader row in the store names as witnesses."""
        row = LeaderRow.decode(self.store.rows[LEADER_KEY].value, NO_VERSION)
        return {each.node for each in row.witnesses}


def run_virtual(make_work):
    """Run a coroutine to its end on virtual time."""
    loop = make_control_loop(1, MAX_STEPS)
    with silent_disposal():
        try:
            loop.run_until_complete(loop.create_task(make_work()))
        finally:
            dispose(loop)
