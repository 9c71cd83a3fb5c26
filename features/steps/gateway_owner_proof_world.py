"""A leader in memory on a clock that steps move, and servers that record what they hold.

True time is the leader's clock and what that has lost; holds count in true time.
"""

import asyncio
from itertools import combinations

from backend_manual_clock import ManualClock, settle
from gateway_control_world import SERVICE, ControlWorld, LossyRows
from result import Ok
from store_versions import at

from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.ownership.leader_row import LEADER_KEY, NO_LEADER, LeaderRow
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.ownership.table_editor import first_table
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import NO_VERSION

STEP_S = 0.25
"""Time between two answers of the store to the leader."""

ORDER_S = 0.8
"""A server that does not answer an order is waited for so long."""


class ShiftedRows(LossyRows):
    """Rows of a store whose clock differs from ours; commits wait while `gate` is closed."""

    def __init__(self, health, clock):
        super().__init__(0, health, clock)
        self.shift_s = 0.0
        self.gate = asyncio.Event()
        self.gate.set()

    def answer(self, rows):
        now_s = self.clock.now()
        true_at_s = self.health.note_answer(now_s, now_s + self.shift_s)
        return Ok(Rows(tuple(rows), at(self.version), true_at_s))

    async def commit(self, transaction):
        await self.gate.wait()
        return await super().commit(transaction)


class HoldingServers:
    """Servers that keep to the users' pages; `spans` holds (server, first, last, begin, end).

    :ivar silent: servers that answer nothing; grants to them wait in `queue`.
    :ivar remembers_releases: a release's token refuses lower grants, as that of a grant does.
    """

    def __init__(self, clock):
        self._clock = clock
        self.lost_s = 0.0
        self.silent = set()
        self.remembers_releases = True
        self.queue = []
        self.spans = []
        self._highest = {}

    def true_s(self):
        return self._clock.now() + self.lost_s

    async def grant(self, server, grant, timeout_s, *args, **fields):
        if server.server_id in self.silent:
            self.queue.append((server.server_id, grant))
            await self._clock.sleep(timeout_s)
            return OrderOutcome(OrderResult.UNANSWERED)
        is_taken = self.take(server.server_id, grant)
        return OrderOutcome(OrderResult.DONE if is_taken else OrderResult.FENCED)

    async def release(self, server, release, timeout_s, *args, **fields):
        server_id, now_s = server.server_id, self.true_s()
        if server_id in self.silent:
            await self._clock.sleep(timeout_s)
            return OrderOutcome(OrderResult.UNANSWERED)
        if self.remembers_releases:
            self._see(server_id, release)
        self.spans = [
            (*each[:4], min(each[4], now_s)) if overlaps(each, server_id, release) else each
            for each in self.spans
        ]
        return OrderOutcome(OrderResult.DONE, "handed")

    def take(self, server_id, grant):
        """Take a grant now, if no higher token was seen on one of its keys."""
        keys = (grant.first, grant.last)
        if any(
            first <= grant.last and grant.first <= last and token > grant.token
            for (name, first, last), token in self._highest.items()
            if name == server_id
        ):
            return False
        self._see(server_id, grant)
        begin_s = self.true_s()
        self.spans.append((server_id, *keys, begin_s, begin_s + grant.hold_s))
        return True

    def take_queued(self, server_id):
        """Let a server take the grants that wait for it."""
        waiting, self.queue = self.queue, []
        for name, grant in waiting:
            if name == server_id:
                self.take(name, grant)
        return len(waiting)

    def _see(self, server_id, order):
        key = (server_id, order.first, order.last)
        self._highest[key] = max(order.token, self._highest.get(key, 0))

    def overlap_s(self):
        """Return for how long two servers held one key, at most."""
        return max(
            (
                min(one[4], other[4]) - max(one[3], other[3])
                for one, other in combinations(self.spans, 2)
                if one[0] != other[0] and one[1] <= other[2] and other[1] <= one[2]
            ),
            default=float("-inf"),
        )

    def holds(self, server_id):
        """Return the number of keys that a server holds now."""
        now_s = self.true_s()
        held = [each for each in self.spans if each[0] == server_id and each[3] <= now_s < each[4]]
        return len({key for each in held for key in range(each[1], each[2] + 1)})


def overlaps(span, server_id, order):
    return span[0] == server_id and span[1] <= order.last and order.first <= span[2]


class ProofWorld(ControlWorld):
    """One process; steps say when it leads, and when time passes."""

    def __init__(self):
        super().__init__(0, ManualClock())
        self.store = ShiftedRows(self.health, self.clock)
        self.leadership._store = self.store
        self.orders = HoldingServers(self.clock)
        self.leading = None

    def fill(self, owners):
        """List servers "a" and "b", and write a table in which `owners` have equal ranges."""
        for number, name in enumerate("ab"):
            self.list_server(name, number + 1)
        if owners:
            table = first_table(SERVICE, owners, [1] * len(owners))
            self.store.put(OWNERS_PREFIX + SERVICE, table.encode())

    def name_leader(self, epoch, node="n1", boot="boot-2"):
        self.store.put(LEADER_KEY, LeaderRow(epoch, node, boot, NO_VERSION).encode())
        self.read()

    def read(self):
        """Have the store's answer come in, with all rows."""
        rows = self.store.answer(self.store.rows.values()).unwrap()
        self.take_rows(rows.rows)
        self.leadership.note_proof(rows.true_at_s)

    async def lead(self, predecessor=NO_LEADER):
        self.leading = asyncio.ensure_future(self.make_leader().run(predecessor))
        await settle()

    async def pass_time(self, duration_s):
        """Let time pass in which the store answers often."""
        for _ in range(round(duration_s / STEP_S)):
            await self.clock.advance(STEP_S)
            self.read()
            await settle()

    def hear(self, sequence, node, boot, epoch, beat=None, age_s=0.0):
        """Take a report of a peer."""
        report = PeerReport(node, boot, sequence, epoch, 0.0, beat, (), (), 0)
        if self.peers.note(report, age_s):
            self.leadership.signs.note(report)


def beat(epoch, hold_s, proof_age_s=0.0):
    return LeaderBeat(epoch, proof_age_s, hold_s, ())
