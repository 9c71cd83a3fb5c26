"""A leader in memory on a clock that steps move, with servers that record what they hold."""

import asyncio
from dataclasses import replace

from gateway_control_world import SERVICE, ControlWorld, LossyRows
from result import Ok
from store_versions import at

from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.ownership.control_group import part_of
from indigoworks.ownership.leader_row import LEADER_KEY, NO_LEADER, LeaderRow
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.ownership.table_editor import first_table
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks_lab.control_simulation.recorded_servers import RecordedServers
from indigoworks_lab.simulation.core.manual_clock import ManualClock, settle

STEP_S = 0.25


class ShiftedRows(LossyRows):
    """Rows of a store whose clock differs from ours; commits wait while `gate` is closed."""

    def __init__(self, health, clock):
        super().__init__(0, health, clock)
        self.shift_s = 0.0
        self.former = []
        self.gate = asyncio.Event()
        self.gate.set()

    def answer(self, rows):
        now_s = self.clock.now()
        true_at_s = self.health.record_response(now_s, now_s + self.shift_s)
        return Ok(Rows(tuple(rows), at(self.version, self.era), true_at_s))

    async def read(self, table, part):
        rows = (*self.former, *self.rows.values())
        return self.answer([each for each in rows if each.part == part.name])

    async def commit(self, transaction):
        await self.gate.wait()
        result = await super().commit(transaction)
        return result.map(lambda version: at(version.counter, self.era))

    def put(self, key, value):
        super().put(key, value)
        version = at(self.version, self.era)
        self.rows[key] = replace(self.rows[key], part=part_of(self.era), version=version)

    @property
    def era(self):
        return self.health.eras.current

    def begin(self, era):
        """Come back from a copy that holds all rows."""
        self.former, self.rows = list(self.rows.values()), {}
        self.health.eras.record_era(era)


class ProofWorld(ControlWorld):
    """One process; steps say when it leads, and when time passes; `lost_s`: its clock lacks it.

    :param era: in which it starts; the table is of era 0.
    :param starts: of owners, as the table's row names them.
    """

    def __init__(self, *owners, era=0, starts=()):
        super().__init__(0, ManualClock())
        self.store = self.leadership._writer._store = ShiftedRows(self.health, self.clock)
        self.lost_s = 0.0
        self.orders = RecordedServers(self.clock, lambda: self.clock.now() + self.lost_s)
        for number, name in enumerate("ab"):
            self.list_server(name, number + 1)
        if owners:
            table = replace(first_table(SERVICE, owners, [1] * len(owners)), starts=dict(starts))
            self.store.put(OWNERS_PREFIX + SERVICE, table.encode())
        if era:
            self.store.begin(era)
        self.name_leader(3)

    def name_leader(self, epoch, node="n1", boot="boot-2"):
        self.store.put(LEADER_KEY, LeaderRow(epoch, node, boot, NO_VERSION).encode())
        self.read()

    def read(self):
        """Have an answer of the store come in, with all rows."""
        rows = self.store.answer(self.store.rows.values()).unwrap()
        self.take_rows(rows.rows)
        self.leadership.record_proof(rows.as_of_s)

    async def lead(self, predecessor=NO_LEADER):
        self.leading = asyncio.ensure_future(self.make_leader().run(predecessor))
        await settle()

    async def pass_time(self, duration_s):
        """Let time pass in which the store answers often."""
        for _ in range(round(duration_s / STEP_S)):
            await self.clock.advance(STEP_S)
            self.read()
            await settle()

    async def leave_unanswered(self, name):
        """Let a server fall silent until a grant waits for it."""
        self.orders.silent.add(name)
        while not self.orders.waiting:
            await self.pass_time(STEP_S)

    def hear(self, sequence, boot, epoch, hold_s=None, age_s=0.0, **beat):
        """Take a report of "n2", with a beat that tells `hold_s` if that is given."""
        leader = None
        if hold_s is not None:
            leader = LeaderBeat(epoch, **{"proof_age_s": 0.0, "pending": (), **beat}, hold_s=hold_s)
        report = PeerReport("n2", boot, sequence, epoch, 0.0, leader, (), (), 0)
        if self.peers.record_report(report, age_s):
            self.leadership.liveness.record_report(report)
