"""Steps on the witnesses of a leader."""

import asyncio
from dataclasses import replace

from behave import then
from gateway_control_world import HOLD_MAX_S, SERVICE
from gateway_witness_world import HOLD_S, TIMEOUT_S, WitnessWorld, owned, process, run_virtual

from indigoworks.exchange.open_grants import OpenGrants, OpenServer
from indigoworks.ownership.hold_bounds import CLOCK_DRIFT_FACTOR, MAX_ORDER_DELAY_S
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.ownership.predecessor_grants import PredecessorGrants
from indigoworks.ownership.table_editor import first_table
from indigoworks.rowstore.store_version import NO_VERSION


@then("gateway witnesses: a server is admitted only once two of three witnesses list it")
def step_admission(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4")
        await world.lead("n2", "n3", "n4")
        world.cut |= {"n3", "n4"}
        admitting = asyncio.ensure_future(world.admit("a"))
        await asyncio.sleep(0.2)
        assert not admitting.done() and world.listed("n2") == {"a"}
        world.cut.remove("n3")
        assert await admitting
        assert world.listed("n2") == world.listed("n3") == {"a"}

    run_virtual(run)


@then("gateway witnesses: a server is listed while a grant is in flight or unanswered")
def step_listed(context):
    async def run():
        world = WitnessWorld("n2", "n3")
        await world.lead("n2", "n3")
        await world.grant("a")
        await world.grant("b", is_answered=False)
        assert await world.admit("c")
        await asyncio.sleep(0.3)
        assert world.listed("n2") == {"b", "c"}, world.record("n2")
        assert world.record("n2").left_s >= HOLD_S * CLOCK_DRIFT_FACTOR - 0.3

    run_virtual(run)


@then("gateway witnesses: after a fence only servers in the record are admitted")
def step_fence(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4")
        await world.lead("n2", "n3", "n4")
        assert await world.admit("a")
        for node in ("n2", "n3"):
            world.parts[node]._witness.fence(3)
        world.store.is_out = True
        assert await world.admit("a") and not await world.admit("b")
        await asyncio.sleep(2.0)
        assert not await world.admit("b")
        assert world.listed("n2") == world.listed("n3") == {"a"}

    run_virtual(run)


@then("gateway witnesses: a lost witness is replaced by one that keeps the record already")
def step_replaced(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4", "n5")
        await world.lead("n2", "n3", "n4")
        await world.grant("b", is_answered=False)
        await asyncio.sleep(0.2)
        kept = []
        world.store.on_put = lambda key: kept.append(world.listed("n5") >= {"b"})
        world.cut.add("n2")
        assert await world.admit("a") and not kept
        await asyncio.sleep(1.0)
        assert world.named() == {"n3", "n4", "n5"} and kept == [True], (world.named(), kept)

    run_virtual(run)


@then("gateway witnesses: after a row write without an answer old and new witnesses are needed")
def step_attempted(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4", "n5")
        await world.lead("n2", "n3", "n5")
        world.store.lost_write = world.store.writes + 1
        world.cut.add("n2")
        assert await world.admit("a")
        await world.store.lost.wait()
        assert world.named() == {"n3", "n4", "n5"}
        world.cut = {"n2", "n3"}
        assert not await world.admit("b"), "only one of the old three has acknowledged"
        world.cut = {"n3", "n4"}
        assert not await world.admit("c"), "only one of the new three has acknowledged"
        world.cut = {"n2"}
        world.store.is_out = False
        await asyncio.sleep(5.0)
        members = {each.node for each in world.replicator._witnesses.members()}
        assert members == world.named() == {"n3", "n4", "n5"}, members
        assert await world.admit("b")

    run_virtual(run)


@then("gateway witnesses: a witness whose node runs again is needed no more")
def step_ended(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4")
        await world.lead("n2", "n3", "n4")
        await asyncio.sleep(0.5)
        world.store.is_out = True
        for node in ("n2", "n3"):
            world.parts[node].handle_datagram = lambda data: None
        assert not await world.admit("a")
        world.boots.update(n2="boot-later", n3="boot-later")
        await asyncio.sleep(0.5)
        assert not await world.admit("a"), "a report of the run before may be late"
        await asyncio.sleep(1.5)
        assert await world.admit("a")

    run_virtual(run)


@then("gateway witnesses: in trouble of the store owners are listed, then long holds granted")
def step_long(context):
    async def run():
        world = WitnessWorld("n2", "n3")
        table = first_table(SERVICE, ("a", "b"), [1, 1])
        world.store.put(OWNERS_PREFIX + SERVICE, table.encode())
        await world.lead("n2", "n3")
        assert world.replicator.longest_hold_s() == HOLD_S
        world.store.is_out = True
        world.cut |= {"n2", "n3"}
        await asyncio.sleep(1.5)
        assert world.replicator.longest_hold_s() == HOLD_S
        world.cut.clear()
        await asyncio.sleep(0.2)
        assert world.replicator.longest_hold_s() == HOLD_MAX_S == world.record("n3").hold_s
        assert world.listed("n2") == world.listed("n3") == {"a", "b"}

    run_virtual(run)


@then("gateway witnesses: the bound of a server that is not listed is that of its hold")
def step_bounds(context):
    async def run():
        world = WitnessWorld("n2")
        bounds, now_s = world.bounds, world.clock.now()
        late_s = MAX_ORDER_DELAY_S + HOLD_S
        bounds.start_epoch(now_s + 2 * late_s)
        grants = OpenGrants(3, 1, 2.0, HOLD_S, (OpenServer("a", 3.0, False),))
        known = PredecessorGrants.received(grants, now_s, now_s + late_s)
        bounds.set_predecessor_grants(known)
        assert bounds.until_s("b", 0, 9) == now_s + 2.0
        assert bounds.until_s("a", 0, 9) == now_s + late_s
        bounds.lower_later_bound(now_s + 0.5)
        assert bounds.until_s("a", 0, 9) == now_s + 3.0
        assert bounds.open_servers() == {"a"} and bounds.settled_left_s() == 2.0
        bounds.record_sent(owned("a"), HOLD_S, TIMEOUT_S)
        bounds.record_answered(owned("a"), HOLD_S)
        bounds.lower_later_bound(now_s + 9.0)
        first, last = owned("a").first, owned("a").last
        assert bounds.until_s("a", first, last) == bounds.own_until_s("a", first, last)
        assert bounds.until_s("a", first, last + 1) > bounds.until_s("b", 0, 9)

    run_virtual(run)


async def fenced_by(world, node, witnesses):
    """Have a node fence the leader; returns what it learns."""
    part = world.parts[node]
    world.worlds[node].directory.apply([])
    row = LeaderRow(3, "n1", "boot-2", NO_VERSION, tuple(map(process, witnesses)))
    async with asyncio.timeout(2.0):
        return await part._fence.fence(row)


@then("gateway witnesses: a successor that reaches two of three witnesses gets the record")
def step_any_one(context):
    async def run():
        for asker, lost in (("n3", "n4"), ("n5", "n4"), ("n5", "n2")):
            world = WitnessWorld("n2", "n3", "n4", "n5")
            await world.lead("n2", "n3", "n4")
            await asyncio.sleep(0.1)
            world.cut.add("n2")
            await world.grant("b", is_answered=False)
            world.cut = {"n1", lost}
            fenced = await fenced_by(world, asker, ("n2", "n3", "n4"))
            assert [each.server_id for each in fenced.grants.servers] == ["b"], fenced

    run_virtual(run)


@then("gateway witnesses: with one of three witnesses lost grants go on, with two they do not")
def step_two_lost(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4")
        await world.lead("n2", "n3", "n4")
        world.store.is_out = True
        world.cut = {"n4"}
        assert await world.admit("a")
        world.cut = {"n3", "n4"}
        assert not await world.admit("b")

    run_virtual(run)


@then("gateway witnesses: a fence without a record leaves the bound of all servers")
def step_no_record(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n5")
        assert await fenced_by(world, "n5", ("n2", "n3", "n5")) is None
        known = [world.parts[each]._witness for each in ("n2", "n3", "n5")]
        refused = [not each.record(OpenGrants(3, 1, 0.0, HOLD_S, ())) for each in known]
        assert refused.count(True) >= 2, refused

    run_virtual(run)


@then("gateway witnesses: the record of the leader before is taken where the last one has none")
def step_sent_nothing(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n5")
        await world.lead("n2", "n3", "n5")
        await world.grant("b", is_answered=False)
        world.cut.add("n1")
        before = world.leadership.row
        row = replace(before, epoch=4, node="n2", boot="boot-n2", replaced=before.as_replaced())
        row = LeaderRow.decode(row.encode(), before.version)
        fenced = await world.parts["n5"]._fence.fence(row)
        assert (fenced.row.epoch, fenced.row.node) == (3, "n1")
        assert [each.server_id for each in fenced.grants.servers] == ["b"]
        assert not world.parts["n3"]._witness.record(OpenGrants(4, 1, 0.0, HOLD_S, ()))

    run_virtual(run)


@then("gateway witnesses: the witnesses stay in the row of a leader that resigned")
def step_resigned(context):
    async def run():
        world = WitnessWorld("n2", "n3")
        await world.lead("n2", "n3")
        table = first_table(SERVICE, ("a", "b"), [1, 1])
        world.store.put(OWNERS_PREFIX + SERVICE, table.encode())
        assert await world.admit("b")
        await world.leadership.resign()
        await asyncio.sleep(0.3)
        assert world.named() == {"n2", "n3"} and world.listed("n2") == {"b"}

    run_virtual(run)


@then("gateway witnesses: other zones come first, then the witnesses of before")
def step_selection(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4", "n5")
        await asyncio.sleep(0.1)
        select = world.leadership.select_witnesses
        assert {each.node for each in select()} == {"n2", "n3", "n5"}
        assert {each.node for each in select((), [process("n5")])} == {"n2", "n3", "n4"}
        others = select((), [process("n2"), process("n3"), process("n5")])
        assert [each.node for each in others] == ["n4"]
        world.cut |= {"n2", "n3", "n5"}
        await asyncio.sleep(2.0)
        assert [each.node for each in select()] == ["n4"]

    run_virtual(run)
