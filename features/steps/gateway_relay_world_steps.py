"""Steps on a relay, its members and the store, on loopback."""

import asyncio

from behave import given, then, when
from gateway_relay_world import TABLE, RelayWorld
from gateway_world import HOST, LONG_S
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks.rowstore.table_part import UNDIVIDED

MEASURED_S = 15.0
"""Bound of a step, against one that never ends; nothing asserts how long it took."""


async def bounded(work):
    async with asyncio.timeout(MEASURED_S):
        return await work


@given('a gateway relay "r" with members "a" and "b" over a store at version {version:d}')
def step_world(context, version):
    async def make():
        context.relay_world = RelayWorld(version)
        await context.relay_world.start()

    context.run_async(make())
    context.add_cleanup(context.relay_world.close)


@given("the relay's newest answer of the store is {age_s:g} s old")
def step_age(context, age_s):
    context.relay_world.relay.port.is_silent = True
    context.relay_world.relay.clock.shift_s += age_s


@given("the relay has ended")
def step_ended(context):
    context.relay_world.close()


@given("the relay asks another gateway")
def step_asks_another(context):
    relay = context.relay_world.relay

    async def run():
        relay.know(PeerAddress("stronger", "x", "z1", Address(HOST, 1), 9.0))

    context.run_async(bounded(run()))


@given("the relay had trouble with the store {age_s:g} s ago")
def step_trouble(context, age_s):
    relay = context.relay_world.relay

    async def run():
        relay.health.record_trouble("feed", "test")
        # It was answered again since: a relay that is not hands its askers back to the store.
        relay.health.record_response(relay.clock.now(), relay.clock.now())
        relay.clock.shift_s += age_s

    context.run_async(bounded(run()))


@when("both members follow the store and then a row changes")
def step_both(context):
    world = context.relay_world

    async def run():
        asked = [world.member_asks(name, world.store.newest(), LONG_S) for name in "ab"]
        await asyncio.sleep(0.1)
        world.store.put("k")
        context.relay_answers = [(await each).unwrap() for each in asked]

    context.run_async(bounded(run()))


@when("the store changes {changes:d} rows, comes back at version {version:d} and changes a row")
def step_comes_back(context, changes, version):
    world = context.relay_world

    async def run():
        for number in range(changes):
            world.store.put(f"lost-{number}")
            await asyncio.sleep(0.01)
        world.store.come_back(version)
        follower = world.relay.relayed
        await follower.read(TABLE, UNDIVIDED)
        world.restart_following()
        known = (await world.members["a"].relayed.read(TABLE, UNDIVIDED)).unwrap().version
        asked = world.member_asks("a", known, LONG_S)
        await asyncio.sleep(0.1)
        world.store.put("k")
        context.relay_answer = (await asked).unwrap()

    context.run_async(bounded(run()))


@then('member "a" has the row')
def step_has_row(context):
    assert "k" in [row.key for row in context.relay_answer.rows], context.relay_answer


@then("both members have the row, and the store was asked by the relay only")
def step_have(context):
    for answer in context.relay_answers:
        assert [row.key for row in answer.rows] == ["k"]
        assert answer.version == context.relay_world.store.newest()
    assert set(context.relay_world.store.askers) == {"r"}, context.relay_world.store.askers


@when('member "{name}" follows from version {version:d} for {wait_s:g} s')
def step_follows(context, name, version, wait_s):
    world = context.relay_world

    async def run():
        context.relay_asked_s = world.members[name].clock.now()
        context.relay_answer = (await world.member_asks(name, at(version), wait_s)).unwrap()

    context.run_async(bounded(run()))


@then('member "a" knows the rows as of at least {age_s:g} s before it asked')
def step_as_of(context, age_s):
    assert "a" not in context.relay_world.store.askers
    assert context.relay_answer.as_of_s <= context.relay_asked_s - age_s + 0.02


@when('member "a" follows from version {version:d} for {wait_s:g} s and a row changes')
def step_follows_change(context, version, wait_s):
    world = context.relay_world

    async def run():
        asked = world.member_asks("a", at(version), wait_s)
        await world.store.asked_by("a")
        world.store.put("k")
        context.relay_answer = (await asked).unwrap()

    context.run_async(bounded(run()))


@when('member "a" follows a table of large rows and a row changes')
def step_follows_large(context):
    world = context.relay_world

    async def run():
        asked = asyncio.ensure_future(world.members["a"].relayed.follow("large", at(10), LONG_S))
        await world.store.asked_by("a")
        world.store.put("k")
        context.relay_answer = (await asked).unwrap()

    context.run_async(bounded(run()))


@when("the gateway relay reads and follows both tables and a row of each changes")
def step_both_tables(context):
    world = context.relay_world
    relayed = world.relay.relayed

    async def run():
        for table in (TABLE, "large"):
            before = (await relayed.read(table, UNDIVIDED)).unwrap().version
            world.store.put(table)
            assert (await relayed.follow(table, before, LONG_S)).unwrap().rows

    context.run_async(bounded(run()))


@then("the gateway relay keeps the row of the small table only")
def step_no_history(context):
    relayed = context.relay_world.relay.relayed
    assert [row.key for row in relayed.history(TABLE).rows_after(NO_VERSION)] == [TABLE]
    large = relayed.history("large")
    assert large.version == NO_VERSION and not large.rows_after(NO_VERSION)
    assert not large.knows_since(large.version)


@when('member "a" waits at the relay and the store falls silent towards the relay')
def step_falls_silent(context):
    world = context.relay_world
    world.relay.port.is_silent = True

    async def run():
        asked = world.member_asks("a", world.store.newest(), LONG_S)
        await asyncio.sleep(0.1)
        assert not asked.done() and "a" not in world.store.askers
        world.relay.clock.shift_s += 5.0
        await world.store.asked_by("a")
        world.store.put("k")
        context.relay_answer = (await asked).unwrap()

    context.run_async(bounded(run()))


@given('member "a" serves, and asks the store itself')
def step_serves(context):
    world = context.relay_world
    context.run_async(bounded(world.let_serve(world.members["a"])))


@when('member "b" follows from version {version:d} for {wait_s:g} s and a row changes')
def step_other_follows(context, version, wait_s):
    world = context.relay_world

    async def run():
        asked = world.member_asks("b", at(version), wait_s)
        await asyncio.sleep(0.1)
        world.store.put("k")
        context.relay_answer = (await asked).unwrap()

    context.run_async(bounded(run()))


@then('member "b" has the row, and the store was asked by member "a" only')
def step_by_other_member(context):
    assert [row.key for row in context.relay_answer.rows] == ["k"]
    assert set(context.relay_world.store.askers) == {"a"}, context.relay_world.store.askers


@then('member "a" has the row from the store itself')
def step_from_store(context):
    assert [row.key for row in context.relay_answer.rows] == ["k"]
    assert "a" in context.relay_world.store.askers


@then('member "a" goes on at the relay')
def step_goes_on(context):
    world = context.relay_world
    world.store.askers.clear()

    async def run():
        asked = world.member_asks("a", world.store.newest(), LONG_S)
        await asyncio.sleep(0.1)
        world.store.put("l")
        return (await asked).unwrap()

    assert [row.key for row in context.run_async(bounded(run())).rows] == ["l"]
    assert "a" not in world.store.askers


@then('member "a" knows of one trouble {age_s:g} s ago')
def step_knows_trouble(context, age_s):
    member = context.relay_world.members["a"]

    async def run():
        return member.clock.now() - member.health.last_trouble_s

    assert len(member.health._troubles) == 1, member.health._troubles
    assert age_s - 0.01 < context.run_async(bounded(run())) < age_s + 10.0
