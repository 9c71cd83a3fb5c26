"""A leader of one range that passes from a server to the next, on a clock that is set by hand."""

from gateway_control_world import SERVICE, ControlWorld
from store_versions import at

from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.leader_row import LEADER_KEY, NO_LEADER, LeaderRow
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.simulation.core.manual_clock import ManualClock

FIRST, LAST = 100, 199
EPOCH = 4
HOLD_S = 3.0
TIMEOUT_S = 0.8
STEP_S = 0.1
NOT_SENT = OrderOutcome(OrderResult.NOT_SENT)
UNANSWERED = OrderOutcome(OrderResult.UNANSWERED)


class ScriptedOrders:
    """Orders whose outcomes are set by server; the others are done."""

    def __init__(self):
        self.outcomes = {}
        self.lost_releases = 0

    async def grant(self, server, grant, timeout_s, may_send):
        return self.outcomes.get(server.server_id, OrderOutcome(OrderResult.DONE))

    async def release(self, server, release, timeout_s, may_send):
        if self.lost_releases:
            self.lost_releases -= 1
            return UNANSWERED
        return self.outcomes.get(server.server_id, OrderOutcome(OrderResult.DONE))


class OwnerLinesWorld(ControlWorld):
    """Server "a" holds the keys by a grant of this leader; "b" is to get them."""

    def __init__(self, token):
        super().__init__(0, ManualClock())
        self.orders = ScriptedOrders()
        self.held = OwnedRange(FIRST, LAST, "a", token)
        self.is_ruling_out = True
        for number, name in enumerate("ab"):
            self.list_server(name, number + 1)
        self.health.record_response(self.clock.now(), self.clock.now())
        self.name_leader(LeaderRow(EPOCH, "n1", "boot-2", NO_VERSION), 10)
        self.prove()
        self.bounds.start_epoch(float("-inf"))
        before = PredecessorBound(NO_LEADER, self.leadership.liveness)
        self.leadership.start_acting(EPOCH, before, self.bounds, self.reach.orders)
        self.bounds.record_sent(self.held, HOLD_S, TIMEOUT_S)
        self.bounds.record_answered(self.held, HOLD_S)

    def name_leader(self, row, version):
        value = row.encode()
        self.leadership.apply([Row(CONTROL_TABLE, part_of(0), LEADER_KEY, value, at(version))])

    def prove(self):
        self.leadership.record_proof(self.clock.now())

    def act_nevertheless(self):
        """Break the rule that a leader asks before each order whether it may act."""
        self.leadership.may_act = lambda: True

    def list_at_address_of_a(self, name):
        record = self.servers.get("a")
        self.servers.put(ServerRecord(name, SERVICE, record.address, "z", 2, False, 0.0, at(20)))

    async def leave_unanswered(self, count):
        """Renew the grant of "a" so often, without an answer."""
        self.orders.outcomes["a"] = UNANSWERED
        keeper = self.make_keeper(SERVICE, self.held)
        for _ in range(count):
            self.prove()
            await keeper.renew()
            await self.clock.advance(TIMEOUT_S)
        self.prove()

    async def pass_on(self, duration_s=STEP_S, is_proved=False):
        """Let the range pass to "b", for so long."""
        owned = OwnedRange(FIRST, LAST, "b", self.held.token + 2, (FormerOwner("a"),))
        keeper = self.make_keeper(SERVICE, owned)
        if not self.is_ruling_out:
            keeper._former.rule_out_all = _nobody
        keeper.start(is_granted=False)
        for _ in range(max(1, round(duration_s / STEP_S))):
            if is_proved:
                self.prove()
            self.bounds.drop_expired()
            await self.clock.advance(STEP_S)
        keeper.stop()


async def _nobody():
    """Break the rule that former owners are ruled out."""
