"""Steps that break on purpose what the ends of holds rest on."""

import asyncio
from types import SimpleNamespace

from backend_manual_clock import settle
from behave import given, then, when
from gateway_control_world import HOLD_MAX_S, SERVICE
from gateway_owner_proof_world import ProofWorld
from gateway_ownership_world import make_bounds
from store_versions import at

# isort: split
from header_names import HEADER_NAMES
from http_server_orders import HttpServerOrders

from indigoworks.ownership.hold_policy import HOLD_S
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.predecessor_bound import PredecessorBound

DRIFT = 50e-6
"""By which two steady clocks may well differ."""

LATE_S = 5.0
"""A server takes an order so late: the users' pages say "seconds later"."""


@given('a gateway owner world in which "{name}" has all keys')
def step_world(context, name):
    async def build():
        context.proof = ProofWorld(name)
        await context.proof.lead()
        await context.proof.pass_time(1.0)

    context.run_async(build())
    step_holds(context, name)


@given("gateway owners that remember tokens of grants{others}")
def step_memory(context, others):
    context.proof.orders.remembers_releases = others == " and releases"


@when("the gateway owner leader is suspended for {duration_s:g} s")
def step_suspended(context, duration_s):
    context.proof.lost_s += duration_s
    step_jump(context, duration_s)


@when("the gateway owner store's clock jumps by {jump_s:g} s")
def step_jump(context, jump_s):
    context.proof.store.shift_s += jump_s
    context.run_async(context.proof.pass_time(1.0))


@when("the gateway owner store's clock drifts for a day")
def step_drift(context):
    """The store answers every minute; nothing else happens in that day."""
    for _ in range(24 * 60):
        context.proof.clock._now_s += 60.0
        context.proof.store.shift_s += 60.0 * DRIFT
        context.proof.read()
    step_jump(context, 0.0)


@when('gateway owner "{name}" falls silent after its answer')
def step_silent(context, name):
    """It leaves as well, so that no order is sent to it between the two: its hold has an end."""
    context.proof.orders.silent.add(name)
    context.proof.list_server(name, 50, is_draining=True)


@when('gateway owner "{name}" leaves a grant unanswered and falls silent')
def step_unanswered(context, name):
    context.run_async(context.proof.leave_unanswered(name))
    step_silent(context, name)


@when('gateway owner "{name}" leaves a grant unanswered and is told to release its keys')
def step_released(context, name):
    step_unanswered(context, name)
    context.proof.orders.silent.remove(name)


@when('gateway owner "{name}" falls silent and leaves while another process leads for a moment')
def step_other_leads(context, name):
    world = context.proof

    async def run():
        await world.leave_unanswered(name)
        world.name_leader(4, "n2", "boot-9")
        other = world.leadership.row
        world.hear(1, "boot-9", 4, hold_s=0.0)
        await world.pass_time(1.0)
        step_silent(context, name)
        world.name_leader(5)
        world.hear(2, "boot-9", 5)
        await world.lead(other)

    context.run_async(run())


@when("{duration_s:g} s of gateway owner time pass")
def step_time(context, duration_s):
    context.run_async(context.proof.pass_time(duration_s))


@when("waiting gateway owner grants are taken {late_s:g} s later")
def step_take_waiting(context, late_s):
    step_time(context, late_s)
    assert context.proof.orders.take_waiting()
    step_time(context, LATE_S + HOLD_S)


@then("no two gateway owners held one key")
def step_no_overlap(context):
    overlap_s = context.proof.orders.overlap_s()
    assert overlap_s <= 1e-6, f"two held one key for {overlap_s:.2f} s"


@then('gateway owner "{name}" holds all keys')
def step_holds(context, name):
    orders = context.proof.orders
    assert all(orders.holds(name, key) for key in range(KEY_COUNT)), orders.spans[-3:]


@then("gateway owner proofs: a beat's hold is no shorter than what the leader itself waits for")
def step_beat_of_chain(context):
    clock, bounds, owned = make_bounds()
    bounds.start_epoch(clock.now() + 20.0)
    left_s = bounds.until_s(owned.server_id, owned.first, owned.last) - clock.now()
    assert bounds.longest_left_s() >= left_s, (bounds.longest_left_s(), left_s)


def bound_of(world):
    """Return the bound of the leader of epoch 4, "n2"."""
    row = LeaderRow(4, "n2", "boot-9", at(7))
    return PredecessorBound(row, world.leadership.signs)


@then("gateway owner proofs: an order sent right before the last beat is in the next bound")
def step_under_way(context):
    _, bounds, owned = make_bounds()
    bounds.open(owned, HOLD_S, 0.8)
    world = ProofWorld("a")
    world.hear(1, "boot-9", 4, hold_s=bounds.longest_left_s())
    world.clock._now_s += 0.05
    world.hear(2, "boot-9", 5)
    assert bound_of(world).acts_no_more()
    left_s = bound_of(world).until_s(world.clock.now(), HOLD_MAX_S) - world.clock.now()
    assert left_s >= LATE_S + HOLD_S, left_s


@then("gateway owner proofs: a report of an earlier boot ends no later one")
def step_earlier_boot(context):
    world = ProofWorld("a")
    world.hear(9, "boot-8", 3)
    world.hear(1, "boot-9", 4, hold_s=HOLD_S)
    world.hear(10, "boot-8", 3, age_s=0.9)
    assert not bound_of(world).acts_no_more()


@then("gateway owner proofs: an answer that was under way arms no leader that resigns")
def step_resign(context):
    async def run():
        world = ProofWorld("a")
        world.store.gate.clear()
        resigning = asyncio.ensure_future(world.leadership.resign())
        await settle()
        assert not world.leadership.may_act()
        world.read()
        resigning.cancel()
        assert not world.leadership.may_act(), "an answer that was under way armed it"

    context.run_async(run())


@then("gateway owner proofs: nothing is sent over a connection that came after the leadership")
def step_late_connection(context):
    async def run():
        world = ProofWorld("a")
        world.orders = HttpServerOrders(HEADER_NAMES, world.clock)
        gate, sent = asyncio.Event(), []

        async def exchange_any(*order):
            sent.append(order)

        connection = SimpleNamespace(
            connect=lambda timeout_s: gate.wait(), exchange_any=exchange_any, abort=lambda: None
        )
        world.orders._new_connection = lambda server: connection
        keeper = world.make_keeper(SERVICE, OwnedRange(0, KEY_COUNT - 1, "a", 4))
        keeper.start(True)
        await settle()
        world.name_leader(4, "n2", "boot-9")
        gate.set()
        await settle()
        keeper.stop()
        assert not sent, sent

    context.run_async(run())


@then("the platform folder's order does not tell that its server has ended")
def step_no_end(context):
    assert context.platform_outcome.result is not OrderResult.OTHER_SERVER
