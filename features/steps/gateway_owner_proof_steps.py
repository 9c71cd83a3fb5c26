"""Steps that break on purpose what the ends of holds rest on."""

import asyncio

from backend_manual_clock import ManualClock, settle
from behave import given, then, when
from gateway_control_world import HOLD_MAX_S, SERVICE
from gateway_owner_proof_world import STEP_S, ProofWorld, beat
from gateway_ownership_world import make_bounds
from gateway_world import HOST, make_record
from hypothesis import given as for_all
from hypothesis import strategies

# isort: split
from header_names import HEADER_NAMES
from http_server_orders import HttpServerOrders
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.report_codec import decode_report, encode_report
from indigoworks.ownership.hold_policy import HOLD_S
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.server_list import ServerList

DAY_MINUTES = 1440
MINUTE_S = 60.0
DRIFT = 50e-6
"""By which two steady clocks may well differ."""

SUSPENDED_S = 10.0
LATE_S = 5.0
"""A server takes an order so late: sooner than the users' word "seconds later" allows."""


@given('a gateway owner world in which "{name}" has all keys')
def step_world(context, name):
    async def build():
        world = ProofWorld()
        world.fill([name])
        world.name_leader(3)
        await world.lead()
        await world.pass_time(1.0)
        assert world.orders.holds(name) == KEY_COUNT
        return world

    context.proof = context.run_async(build())


@given('a gateway owner world without a table in which "{name}" holds all keys')
def step_no_table(context, name):
    async def build():
        world = ProofWorld()
        world.fill([])
        world.orders.take(name, KeyGrant(0, KEY_COUNT - 1, 900, HOLD_MAX_S))
        world.name_leader(3)
        await world.lead()
        return world

    context.proof = context.run_async(build())


@given("gateway owners that remember tokens of grants{others}")
def step_memory(context, others):
    context.proof.orders.remembers_releases = others == " and releases"


# ---- clocks ----


@when("the gateway owner leader is suspended for {duration_s:g} s")
def step_suspended(context, duration_s):
    world = context.proof
    world.orders.lost_s += duration_s
    world.store.shift_s += duration_s
    context.run_async(world.pass_time(1.0))


@when("the gateway owner store's clock jumps forward by {jump_s:g} s")
def step_forward(context, jump_s):
    context.proof.store.shift_s += jump_s
    context.run_async(context.proof.pass_time(1.0))


@when("the gateway owner store's clock jumps back by {jump_s:g} s")
def step_back(context, jump_s):
    step_forward(context, -jump_s)


@when("the gateway owner store's clock drifts for a day")
def step_drift(context):
    """The store answers every minute; nothing else happens in that day."""
    world = context.proof

    async def run():
        for _ in range(DAY_MINUTES):
            world.clock._now_s += MINUTE_S
            world.store.shift_s += MINUTE_S * DRIFT
            world.read()
        await world.pass_time(2.0)
        assert world.orders.holds("a") == KEY_COUNT

    context.run_async(run())


@then("gateway owner proofs: an answer read late is true as of when it was made, after a jump too")
def step_late_answer(context):
    clock = ManualClock()
    health = StoreHealth(clock)
    health.note_answer(clock.now(), 0.0)
    clock._now_s += 1.0
    health.note_answer(clock.now(), SUSPENDED_S + 1.0)
    sent_s, made_s = clock.now(), clock.now() + 0.1
    clock._now_s += LATE_S
    true_at_s = health.note_answer(sent_s, SUSPENDED_S + 1.1)
    assert true_at_s <= made_s + 1e-6, true_at_s - made_s


# ---- silent servers ----


@when('gateway owner "{name}" falls silent after its answer')
def step_silent(context, name):
    """No order to it is taken from now on: the end of its hold is known."""
    world = context.proof
    world.orders.silent.add(name)
    world.list_server(name, 50, is_draining=True)


@when("{duration_s:g} s of gateway owner time pass")
def step_time(context, duration_s):
    context.run_async(context.proof.pass_time(duration_s))


@when(
    'gateway owner "{name}" leaves a grant unanswered, falls silent and takes it {late_s:g} s later'
)
def step_late(context, name, late_s):
    context.run_async(leave_unanswered(context.proof, name))
    step_silent(context, name)
    step_take_later(context, name, late_s)


async def leave_unanswered(world, name):
    """Let a server fall silent until a grant waits for it."""
    world.orders.silent.add(name)
    while not world.orders.queue:
        await world.pass_time(STEP_S)


@when('gateway owner "{name}" takes its grants {late_s:g} s later')
def step_take_later(context, name, late_s):
    world = context.proof
    context.run_async(world.pass_time(late_s))
    assert world.orders.take_queued(name)


@when(
    'gateway owner "{name}" leaves a grant unanswered, begins to leave and takes it after its'
    " release"
)
def step_late_after_release(context, name):
    world = context.proof

    async def run():
        await leave_unanswered(world, name)
        world.orders.silent.remove(name)
        world.list_server(name, 50, is_draining=True)
        await world.pass_time(2.0)
        assert world.orders.take_queued(name)

    context.run_async(run())


@then("no two gateway owners held one key")
def step_no_overlap(context):
    overlap_s = context.proof.orders.overlap_s()
    assert overlap_s <= 1e-6, f"two held one key for {overlap_s:.2f} s"


@then('gateway owner "{name}" holds all keys, and no two servers held one')
def step_holds(context, name):
    assert context.proof.orders.holds(name) == KEY_COUNT, context.proof.orders.spans[-3:]
    step_no_overlap(context)


# ---- leaders ----


@when('gateway owner "{name}" falls silent and leaves, and another process leads for a moment')
def step_other_leads(context, name):
    world = context.proof

    async def run():
        await leave_unanswered(world, name)
        world.name_leader(4, "n2", "boot-9")
        other = world.leadership.row
        world.hear(1, "n2", "boot-9", 4, beat(4, 0.0))
        await world.pass_time(1.0)
        assert world.leading.done()
        world.list_server(name, 50, is_draining=True)
        world.name_leader(5)
        world.hear(2, "n2", "boot-9", 5)
        await world.lead(other)

    context.run_async(run())


@then("gateway owner proofs: a beat's hold is no shorter than what the leader itself waits for")
def step_beat_of_chain(context):
    clock, bounds, owned = make_bounds()
    bounds.start_epoch(clock.now() + 20.0)
    left_s = bounds.until_s(owned.server_id, owned.first, owned.last) - clock.now()
    assert bounds.longest_left_s() >= left_s, (bounds.longest_left_s(), left_s)


async def heard_world(hold_s):
    """Return a process that heard one beat of the leader of epoch 4; none if `hold_s` is None."""
    world = ProofWorld()
    if hold_s is not None:
        world.hear(1, "n2", "boot-9", 4, beat(4, hold_s))
    return world, PredecessorBound(LeaderRow(4, "n2", "boot-9", at(7)), world.leadership.signs)


@then("gateway owner proofs: an order sent right before the last beat is in the next bound")
def step_under_way(context):
    _, bounds, owned = make_bounds()
    bounds.open(owned, HOLD_S, 0.8)
    world, bound = context.run_async(heard_world(bounds.longest_left_s()))
    sent_s = world.clock.now()
    world.clock._now_s += 0.05
    world.hear(2, "n2", "boot-9", 5)
    assert bound.acts_no_more()
    left_s = bound.until_s(world.clock.now(), HOLD_MAX_S) - sent_s
    assert left_s >= LATE_S + HOLD_S, left_s


@then("gateway owner proofs: of an unheard leader a long hold taken late is in the next bound")
def step_unheard(context):
    world, bound = context.run_async(heard_world(None))
    left_s = bound.until_s(world.clock.now(), HOLD_MAX_S) - world.clock.now()
    # It acts until its lease ends, its grant is taken by the bench's longest time later.
    assert left_s >= LEADER_LEASE_S + 12.0 + HOLD_MAX_S, left_s


@then("gateway owner proofs: a report of an earlier boot ends no later one")
def step_earlier_boot(context):
    async def run():
        world = ProofWorld()
        world.hear(9, "n2", "boot-8", 3)
        world.hear(1, "n2", "boot-9", 4, beat(4, HOLD_S))
        world.hear(10, "n2", "boot-8", 3, age_s=0.9)
        return world.leadership.signs.acts_no_more("n2", "boot-9", 4)

    assert not context.run_async(run())


@then("gateway owner proofs: an answer that was under way arms no leader that resigns")
def step_resign(context):
    async def run():
        world = ProofWorld()
        world.fill(["a"])
        world.name_leader(3)
        assert world.leadership.may_act()
        world.store.gate.clear()
        resigning = asyncio.ensure_future(world.leadership.resign())
        await settle()
        assert not world.leadership.may_act()
        world.read()
        may_act = world.leadership.may_act()
        resigning.cancel()
        return may_act

    assert not context.run_async(run())


# ---- orders on the wire ----


class SlowConnection:
    """A connection that comes about once `gate` is open; `sent` holds what went out."""

    is_reusable = False

    def __init__(self, gate, sent):
        self._gate = gate
        self._sent = sent

    async def connect(self, timeout_s):
        await self._gate.wait()
        return True

    async def exchange_any(self, method, target, headers, body):
        self._sent.append(target)

    def abort(self):
        pass


class SlowOrders(HttpServerOrders):
    def __init__(self, clock):
        super().__init__(HEADER_NAMES, clock)
        self.gate = asyncio.Event()
        self.sent = []

    def _new_connection(self, server):
        return SlowConnection(self.gate, self.sent)


@then("gateway owner proofs: nothing is sent over a connection that came after the leadership")
def step_late_connection(context):
    async def run():
        world = ProofWorld()
        world.fill(["a"])
        world.name_leader(3)
        world.orders = SlowOrders(world.clock)
        keeper = world.make_keeper(SERVICE, OwnedRange(0, KEY_COUNT - 1, "a", 4))
        keeper.start(True)
        await settle()
        world.name_leader(4, "n2", "boot-9")
        world.orders.gate.set()
        await settle()
        keeper.stop()
        return world.orders.sent

    sent = context.run_async(run())
    assert not sent, sent


@then("the platform folder's order is no proof that its server has ended")
def step_no_proof(context):
    assert context.platform_outcome.result is not OrderResult.OTHER_SERVER


# ---- servers that are gone, numbers ----


@then("gateway owner proofs: an ended server's late entry does not end the one at its address")
def step_late_entry(context):
    clock = ManualClock()
    servers = ServerList(StoreHealth(clock), 1.0, clock)
    address = Address(HOST, 1)
    servers.put(make_record("new", address, 10, started_ms=2000, sequence=1))
    servers.put(make_record("ended", address, 12, started_ms=1000, sequence=9))
    assert servers.is_gone("ended") and not servers.is_gone("new")


@then("gateway owner proofs: for all beats holds and ages come out no shorter than they went in")
def step_rounding(context):
    @for_all(strategies.floats(0.0, 100.0), strategies.floats(0.0, 100.0))
    def check(hold_s, age_s):
        sent = beat(4, hold_s, age_s)
        report = PeerReport("n2", "boot-9", 1, 4, 0.0, sent, (), (), 0)
        read = decode_report(encode_report(report)).leader
        assert read.hold_s >= hold_s and read.proof_age_s >= age_s, (read, sent)

    check()
