"""Steps on the leader of a control group whose store loses answers."""

import asyncio
import json

from behave import given, then, when
from gateway_control_world import SERVICE, ControlWorld

from indigoworks.exchange.key_sample import KeySample
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.ownership.table_editor import first_table
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks_lab.simulation.core.poll_until import poll_until

PATIENCE_S = 10.0
WRITE_WAITS_S = 0.4
"""Longer than a leader takes to notice a leaving server and to begin its write."""

GRANTS_WAIT_S = 0.7
"""Longer than the time between two renewals: each range of a server has one due."""

OWNERS = OWNERS_PREFIX + SERVICE

HOT_TICK_S = 0.05
HOT_TICKS = 50
HOT_KEYS = 6
"""Keys asked for at each tick: several times what a server of two slots can do."""

TURNS = 3
"""Ranges of each server where owners take turns."""


async def until(condition):
    async with asyncio.timeout(PATIENCE_S):
        await poll_until(condition)


@given("a gateway control group whose store loses the answer of write {number:d}")
def step_group(context, number):
    async def build():
        return ControlWorld(number)

    context.control = context.run_async(build())


@given('gateway control rows of an earlier leader with servers "{first}" and "{second}"')
def step_rows(context, first, second):
    fill_rows(context, [first, second])


@given('gateway control rows of an earlier leader with servers "{first}" and "{second}" in turn')
def step_rows_in_turn(context, first, second):
    fill_rows(context, [first, second] * TURNS)


def fill_rows(context, owners):
    """Write a table in which each of `owners` has one range, and an earlier leader's row."""
    world = context.control

    async def fill():
        for number, name in enumerate(dict.fromkeys(owners)):
            world.list_server(name, number + 1)
        table = first_table(SERVICE, owners, [1] * len(owners))
        world.store.put(OWNERS, table.encode())
        world.store.put(LEADER_KEY, LeaderRow(3, "n1", "boot-1", NO_VERSION).encode())

    context.run_async(fill())


@when("the gateway control member finds no leader")
def step_start(context):
    async def start():
        world = context.control
        for work in (world.follower.run(), world.member.run()):
            asyncio.ensure_future(work)

    context.run_async(start())


@when('gateway control server "{name}" begins to leave')
def step_leave(context, name):
    world = context.control

    async def leave():
        await until(lambda: world.orders.granted(name))
        world.list_server(name, 50, is_draining=True)

    context.run_async(leave())


@when('gateway control server "{name}" begins to leave and the answer of its release is lost')
def step_leave_unanswered(context, name):
    world = context.control
    world.orders.lost_releases = 1
    record_result = world.reach.record_result
    context.control_results = []

    def record_and_keep(server_id, result, *sender):
        context.control_results.append((server_id, result))
        record_result(server_id, result, *sender)

    world.reach.record_result = record_and_keep
    step_leave(context, name)


@when('gateway control server "{name}" leaves a grant unanswered and the store falls silent')
def step_unanswered_then_silent(context, name):
    world = context.control

    async def fall_silent():
        await until(lambda: covered(world) == KEY_COUNT)
        world.orders.unanswering = name
        await until(lambda: world.orders.unanswering is None)
        world.store.is_silent = True

    context.run_async(fall_silent())


@then('the gateway control member grants "{name}" for {short_s:g} s and "{other}" for {long_s:g} s')
def step_holds(context, name, short_s, other, long_s):
    world = context.control

    async def observe():
        await until(lambda: world.orders.granted(other)[-1].hold_s == long_s)
        count = len(world.orders.granted(name))
        await until(lambda: len(world.orders.granted(name)) > count + 1)
        return world.orders.granted(name)[-1].hold_s

    assert context.run_async(observe()) == short_s


@then('the gateway control member has taken no order to "{name}" for failed')
def step_none_failed(context, name):
    assert context.control.orders.lost_releases == 0
    results = {result for server_id, result in context.control_results if server_id == name}
    assert results == {OrderResult.DONE}, results


@when('another gateway control leader is named while a write waits for a grant to "{name}"')
def step_named_meanwhile(context, name):
    world = context.control

    async def overtake():
        await leave_grants_unanswered(world)
        await until(lambda: world.orders.waiting >= len(world.tables.table(SERVICE).ranges))
        world.list_server(name, 50, is_draining=True)
        await asyncio.sleep(WRITE_WAITS_S)
        await name_another_leader(world)
        context.control_written = len(world.store.written)
        world.orders.gate.set()
        await asyncio.sleep(WRITE_WAITS_S)

    context.run_async(overtake())


@when('another gateway control leader is named while server "{name}" leaves a grant unanswered')
def step_named_while_waiting(context, name):
    world = context.control

    async def overtake():
        await leave_grants_unanswered(world)
        await asyncio.sleep(GRANTS_WAIT_S)
        context.control_granted = len(world.orders.granted(name))
        await name_another_leader(world)
        world.orders.gate.set()
        await asyncio.sleep(GRANTS_WAIT_S)

    context.run_async(overtake())


@then('the gateway control member has sent server "{name}" no other grant')
def step_no_other_grant(context, name):
    later = context.control.orders.granted(name)[context.control_granted :]
    assert len(later) <= 1, later


@when(
    'gateway control keys of "{first}" turn hot until {count:d} writes are made,'
    ' then those of "{then}"'
)
def step_hot(context, first, count, then):
    world = context.control

    async def heat(name):
        owned = world.tables.table(SERVICE).ranges_of(name)[-1]
        keys = tuple(owned.first + 100 * number for number in range(HOT_KEYS))
        world.peers.add_samples([KeySample(SERVICE, keys, len(keys))])
        await asyncio.sleep(HOT_TICK_S)

    async def run():
        await until(lambda: world.orders.granted(first) and world.orders.granted(then))
        async with asyncio.timeout(PATIENCE_S):
            while world.store.writes < count:
                await heat(first)
        for _ in range(HOT_TICKS):
            await heat(then)

    context.run_async(run())


@then("the gateway control member has moved no key after that write")
def step_no_move_after(context):
    """Every move comes with a higher token; the table is settled under the one it has."""
    tables = [value for key, value in context.control.store.written if key == OWNERS]
    tokens = [json.loads(each)["highest_token"] for each in tables]
    assert len(tokens) > 3 and tokens[2] > tokens[1], tables
    assert set(tokens[2:]) == {tokens[2]}, tables


@then("the gateway control member has written nothing more")
def step_nothing_more(context):
    assert len(context.control.store.written) == context.control_written


@then("the gateway control member leads")
def step_leads(context):
    world = context.control
    context.run_async(until(lambda: world.led and world.leadership.may_act()))
    assert world.store.writes >= world.store.lost_write, world.store.writes


@then("the gateway control member has granted all keys to their owners")
def step_granted(context):
    world = context.control
    context.run_async(until(lambda: covered(world) == KEY_COUNT))
    assert world.store.writes > world.store.lost_write, world.store.writes


@then('gateway control keys of "{name}" are granted to "{other}" after their release')
def step_handed(context, name, other):
    world = context.control
    context.run_async(until(lambda: covered(world) == KEY_COUNT and not owned(world, name)))
    released = [each for each in world.orders.orders if each[:2] == ("release", name)]
    assert released, world.orders.orders
    last_release = max(world.orders.orders.index(each) for each in released)
    after = world.orders.orders[last_release + 1 :]
    assert not [each for each in after if each[:2] == ("grant", name)], after
    handed = [order for what, to, order in after if (what, to) == ("grant", other)]
    assert any(order.handover == "handed" for order in handed), handed


@then('no gateway control grant reached "{name}" once a row had taken its keys')
def step_none_after_row(context, name):
    world = context.control
    taken = [
        number
        for number, (key, value) in enumerate(world.store.written)
        if key == OWNERS and name in former_owners(value)
    ]
    assert taken, world.store.written
    after = world.orders.orders[world.orders_at_writes[taken[0]] :]
    assert not [each for each in after if each[:2] == ("grant", name)], after


def former_owners(value):
    return {server for each in json.loads(value)["ranges"] for (server,) in each[4]}


async def leave_grants_unanswered(world):
    await until(lambda: covered(world) == KEY_COUNT)
    world.orders.gate.clear()


async def name_another_leader(world):
    world.store.put(LEADER_KEY, LeaderRow(9, "n2", "boot-9", NO_VERSION).encode())
    await until(lambda: not world.leadership.is_named())


def owned(world, name):
    return world.tables.table(SERVICE).ranges_of(name)


def covered(world):
    """Return the keys whose owner was granted them under the token of the row."""
    grants = [
        (server, order.first, order.last, order.token)
        for what, server, order in world.orders.orders
        if what == "grant"
    ]
    return sum(
        each.width
        for each in world.tables.table(SERVICE).ranges
        if (each.server_id, each.first, each.last, each.token) in grants and each.token > 2
    )
