"""Steps that break on purpose what the ends of holds rest on."""

from dataclasses import replace

from behave import given, then, when
from gateway_control_world import HOLD_MAX_S, SERVICE
from gateway_owner_proof_world import ProofWorld
from store_versions import at

# isort: split

from indigoworks.ownership.hold_policy import HOLD_S
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.servers.server_list import RETENTION_S

DRIFT = 50e-6
"""By which two steady clocks may well differ."""

LOST_TOKEN = 8
"""Under which a server had keys by a move that the store has lost."""

SERVED_S = 8.0
"""Within it a sound leader gives keys away whose owner fell silent."""


@given('a gateway owner world in which "{name}" has all keys')
def step_world(context, name):
    async def build():
        context.proof = ProofWorld(name)
        await context.proof.lead()
        await context.proof.pass_time(1.0)

    context.run_async(build())
    step_holds(context, name)


@given('a gateway owner world without a table in which "{name}" holds all keys')
def step_no_table(context, name):
    async def build():
        context.proof = ProofWorld()
        context.proof.orders.take(name, KeyGrant(0, KEY_COUNT - 1, 900, HOLD_MAX_S))
        await context.proof.lead()

    context.run_async(build())


@given('a gateway owner world of a new era, in which silent "{name}" has all keys by a lost move')
def step_lost_move(context, name, is_silent=True):
    """The copy gives them to "a", whose hold had passed before the move."""

    async def build():
        context.proof = ProofWorld("a", era=1)
        if is_silent:
            context.proof.orders.silent.add(name)
        context.proof.orders.take(name, KeyGrant(0, KEY_COUNT - 1, LOST_TOKEN, HOLD_MAX_S))
        await context.proof.lead()

    context.run_async(build())


@given(
    'a gateway owner world of a new era, in which "{name}" has all keys by a lost move and answers'
)
def step_lost_move_answers(context, name):
    step_lost_move(context, name, is_silent=False)


@given(
    'a gateway owner world of a new era, whose owner "{name}" {state} since the copy was made, '
    'while "{other}" had its keys'
)
def step_restarted(context, name, state, other):
    """The other had them by a lost move, and has them no more."""
    started_ms = 2000 if state == "started again" else 1000

    async def build():
        world = context.proof = ProofWorld(name, era=1, starts={name: 1000})
        for record in list(world.servers.listed()):
            begun_ms = started_ms if record.server_id == name else 1000
            world.servers.put(replace(record, version=at(60, 1), started_ms=begun_ms, sequence=1))
        world.orders.take(other, KeyGrant(0, KEY_COUNT - 1, LOST_TOKEN, HOLD_S))
        world.orders.spans.clear()
        await world.lead()

    context.run_async(build())


@given('a gateway owner world of a new leader, with a grant on its way to "a", which {state}')
def step_inherited(context, state):
    """The leader before was heard, acts no more and has told of no late grant."""

    async def build():
        world = context.proof = ProofWorld("a")
        world.list_server("a", 50, is_draining=True)
        if "is listed no more" in state:
            world.servers.remove("a")
            world.clock._now_s += RETENTION_S + 1.0
            world.servers.remove_expired()
        world.name_leader(4, "n2", "boot-9")
        before = world.leadership.row
        world.hear(1, "boot-9", 4, hold_s=HOLD_S)
        owned = world.tables.table(SERVICE).ranges[0]
        world.orders.waiting = [("a", KeyGrant(owned.first, owned.last, owned.token, HOLD_S))]
        if "stands still" in state:
            world.orders.silent.add("a")
        world.orders.remembers_releases = False
        world.name_leader(5)
        world.hear(2, "boot-9", 5)
        await world.lead(before)

    context.run_async(build())


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


@when('another gateway owner entry "{name}" comes at the address of "{owner}"')
def step_other_entry(context, name, owner):
    record = context.proof.servers.get(owner)
    context.proof.servers.put(replace(record, server_id=name, service="other", version=at(40)))


@when('another program writes the address of gateway owner "{other}" under the id of "{owner}"')
def step_other_address(context, other, owner):
    world = context.proof
    world.orders.addresses = {each.server_id: each.address for each in world.servers.listed()}
    record = world.servers.get(owner)
    address = world.servers.get(other).address
    world.servers.put(replace(record, address=address, version=at(40)))


@when('gateway owner "{name}" leaves')
def step_leaves(context, name):
    context.proof.list_server(name, 50, is_draining=True)


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


@when('the entry of gateway owner "{name}" goes and is forgotten')
def step_forgotten(context, name):
    world = context.proof
    world.servers.remove(name)
    step_time(context, RETENTION_S + 1.0)
    world.servers.remove_expired()
    assert world.servers.get(name) is None


@when("{duration_s:g} s of gateway owner time pass")
def step_time(context, duration_s):
    context.run_async(context.proof.pass_time(duration_s))


@when("waiting gateway owner grants are taken {late_s:g} s later")
def step_take_waiting(context, late_s):
    step_time(context, late_s)
    assert context.proof.orders.take_waiting()
    step_time(context, SERVED_S)


@then('gateway owner "{name}" took {grants} under a token that is not above that of the lost move')
def step_took(context, name, grants):
    seen = context.proof.orders._seen
    low = [token for server, _, _, token in seen if server == name and token <= LOST_TOKEN]
    assert bool(low) == (grants == "a grant"), seen


@then("no two gateway owners held one key")
def step_no_overlap(context):
    for keeper in context.proof.keepers._keepers_of(SERVICE):
        assert not keeper.task.done(), keeper.task
    overlap_s = context.proof.orders.overlap_s()
    assert overlap_s <= 1e-6, f"two held one key for {overlap_s:.2f} s"


@then('gateway owner "{name}" holds all keys')
def step_holds(context, name):
    orders = context.proof.orders
    assert all(orders.holds(name, key) for key in range(KEY_COUNT)), orders.spans[-3:]
