"""Steps on bounds that a successor derives from a record, and that a leader keeps itself."""

import asyncio

from behave import then
from gateway_control_world import SERVICE
from gateway_owner_proof_world import ProofWorld
from gateway_witness_era_world import EraWorld
from gateway_witness_world import HOLD_S, TIMEOUT_S, WitnessWorld, owned, run_virtual

from indigoworks.ownership.era_numbers import first_number
from indigoworks.ownership.hold_bounds import CLOCK_DRIFT_FACTOR, MAX_ORDER_DELAY_S
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.ownership.predecessor_grants import PredecessorGrants
from indigoworks.ownership.table_editor import first_table

LAST_KEY = 65535
LONG_HOLD_S = 30.0


@then("gateway witnesses: an answer under a former era's token leaves the predecessor's bound")
def step_confirmed(context):
    async def run():
        world = ProofWorld("a")
        world.name_leader(3, "n0", "boot-0")
        token = world.tables.table(SERVICE).ranges[0].token
        former_leaders = KeyGrant(0, LAST_KEY, token, HOLD_S)
        assert world.orders.take("a", former_leaders)
        world.store.begin(1)
        assert world.leadership.knows_former_era(0) or not world.leadership.is_named()
        world.name_leader(first_number(1) + 1)
        assert world.leadership.knows_former_era(0)
        cut_when_confirmed(world, "a", token)
        await world.lead(world.leadership.previous_leader_row())
        renewed_until_s = world.clock.now() + LEADER_LEASE_S
        for _ in range(60):
            if world.clock.now() < renewed_until_s:
                world.orders.take("a", former_leaders)
            await world.pass_time(0.25)
        owners = {each.server_id for each in world.orders.spans}
        assert world.orders.overlap_s() == 0.0, (owners, world.orders.overlap_s())

    asyncio.run(run())


def cut_when_confirmed(world, name, token):
    """Let a server get no further order of this process once it has renewed a grant of `token`."""
    grant, release = world.orders.grant, world.orders.release
    is_cut = False

    async def cut_grant(server, order, timeout_s, may_send):
        nonlocal is_cut
        if is_cut and server.server_id == name:
            return OrderOutcome(OrderResult.NOT_SENT)
        outcome = await grant(server, order, timeout_s, may_send)
        is_cut = is_cut or (server.server_id, order.token) == (name, token)
        return outcome

    async def cut_release(server, order, timeout_s, may_send):
        if is_cut and server.server_id == name:
            return OrderOutcome(OrderResult.NOT_SENT)
        return await release(server, order, timeout_s, may_send)

    world.orders.grant, world.orders.release = cut_grant, cut_release


@then("gateway witnesses: a record tells of holds that a lost era may have left")
def step_possible(context):
    async def run():
        world = EraWorld("n2", "n3")
        epoch = await world.lead_era("n2", "n3")
        await asyncio.sleep(6.0)
        table = world.tables.table(SERVICE)
        assert table.version.era == 1
        assert all("x" in {each.server_id for each in one.former} for one in table.ranges)
        now_s = world.clock.now()
        own_s = max(world.bounds.own_until_s("x", each.first, each.last) for each in table.ranges)
        told = world.parts["n2"]._witness.fence(epoch)
        listed_s = {each.server_id: each.left_s for each in told.servers}
        told_s = listed_s.get("x", told.left_s)
        assert told_s >= own_s - now_s - 0.2, (told, own_s - now_s)

    run_virtual(run)


@then("gateway witnesses: no longer hold is granted than witnesses were told")
def step_raised(context):
    async def run():
        world = WitnessWorld("n2", "n3")
        table = first_table(SERVICE, ("a", "b"), [1, 1])
        world.store.put(OWNERS_PREFIX + SERVICE, table.encode())
        await world.lead("n2", "n3")
        world.store.is_out = True
        await asyncio.sleep(2.0)
        assert world.listed("n2") == {"a", "b"}
        world.policy.set_hold_max(30.0)
        for _ in range(10):
            told_s = min(world.record(each).hold_s for each in ("n2", "n3"))
            granted_s = world.replicator.longest_hold_s()
            assert granted_s <= told_s, (granted_s, told_s)
            await asyncio.sleep(0.05)

    run_virtual(run)


@then("gateway witnesses: a listed server's bound covers the long holds that it answered")
def step_listed_bound(context):
    async def run():
        world = WitnessWorld("n2", "n3")
        await world.lead("n2", "n3")
        assert await world.admit("a")
        world.bounds.record_sent(owned("a"), LONG_HOLD_S, TIMEOUT_S)
        world.bounds.record_answered(owned("a"), LONG_HOLD_S)
        await asyncio.sleep(0.2)
        record = world.parts["n2"]._witness.fence(3)
        assert world.listed("n2") == {"a"}
        now_s = world.clock.now()
        later_s = now_s + MAX_ORDER_DELAY_S + record.hold_s * CLOCK_DRIFT_FACTOR
        told_s = PredecessorGrants.received(record, now_s, later_s).until_s("a")
        own_s = world.bounds.own_until_s("a", owned("a").first, owned("a").last)
        assert told_s >= own_s - 0.2, (told_s - now_s, own_s - now_s)

    run_virtual(run)


@then("gateway witnesses: a witness that a late row write hides is still required")
def step_hidden(context):
    async def run():
        world = WitnessWorld("n2", "n3")
        await world.lead("n2", "n3")
        await asyncio.sleep(0.3)
        world.store.is_out = True
        world.list_peers("n2", "n3", boots=[("n2", "boot-earlier")])
        await asyncio.sleep(0.3)
        world._send = drop_between(world._send, "n1", "n2")
        is_admitted = await world.admit("y")
        assert is_admitted
        known = [world.parts[each]._witness.fence(3) for each in ("n2", "n3")]
        newest = max(known, key=lambda each: each.number)
        assert "y" in {each.server_id for each in newest.servers}, known
        world._send = drop_between(world._send, "n1", "n3")
        assert not await world.admit("z")

    run_virtual(run)


def drop_between(send, source, target):
    """Return a way to send that loses what one node sends another."""

    def sending(sender, data, receiver):
        if (sender, receiver) != (source, target):
            send(sender, data, receiver)

    return sending


@then("gateway witnesses: the bound of a grant counts from the last look before its bytes")
def step_late_look(context):
    async def run():
        world = ProofWorld("a")
        world.bounds.start_epoch(float("-inf"))
        held = world.tables.table(SERVICE).ranges[0]
        sent = []

        async def grant(server, order, timeout_s, may_send):
            world.clock._now_s += 5.0
            if not may_send():
                return OrderOutcome(OrderResult.WITHHELD)
            sent.append(world.clock.now() + MAX_ORDER_DELAY_S + order.hold_s)
            return OrderOutcome(OrderResult.UNANSWERED)

        world.orders.grant = grant
        await world.keepers.confirm(SERVICE, held)
        until_s = world.bounds.own_until_s("a", held.first, held.last)
        assert all(until_s >= each for each in sent), (until_s, sent)

    asyncio.run(run())


@then("gateway witnesses: a grant that waited at a silent server counts from its first answer")
def step_awoken(context):
    async def run():
        world = ProofWorld("a")
        world.bounds.start_epoch(float("-inf"))
        before = world.tables.table(SERVICE).ranges[0]
        world.bounds.record_sent(before, HOLD_S, TIMEOUT_S)
        world.bounds.record_unanswered(before)
        world.reach.mark_silent("a")
        release = world.orders.release

        async def accepts_nothing(server, order, timeout_s, may_send):
            if server.server_id == "a":
                return OrderOutcome(OrderResult.NOT_SENT)
            return await release(server, order, timeout_s, may_send)

        world.orders.release = accepts_nothing
        former = (FormerOwner("a"),)
        moved = OwnedRange(before.first, before.last, "b", before.token + 2, former)
        keeper = world.make_keeper(SERVICE, moved)
        keeper.start(False)
        await world.pass_time(20.0)
        assert not keeper.is_granted
        world.orders.take("a", KeyGrant(before.first, before.last, before.token, HOLD_S))
        world.reach.record_result("a", OrderResult.DONE)
        await world.pass_time(5.0)
        keeper.stop()
        assert world.orders.overlap_s() == 0.0, world.orders.overlap_s()

    asyncio.run(run())
