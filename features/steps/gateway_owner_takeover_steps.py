"""Steps on a leader that takes over what another one has left, or another server seems to."""

import asyncio

from behave import then, when
from gateway_control_world import SERVICE
from gateway_owner_proof_world import ProofWorld
from store_versions import at

from indigoworks.ownership.hold_policy import HOLD_S
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.ownership.table_editor import TOKEN_STEP
from indigoworks.rowstore.store_version import NO_VERSION

FIRST_TOKEN = TOKEN_STEP
"""Of the table as the leader before left it."""


@when('another gateway owner lines entry comes at the address of "a"')
def step_other_entry(context):
    context.owners.list_at_address_of_a("c")
    context.run_async(context.owners.pass_on())


@then("the gateway owner lines name no sign")
def step_no_sign(context):
    assert not any(each["message_type"] == "server:replaced" for each in context.owner_lines)


@then("gateway owner proofs: a table is taken under new tokens however late its service is known")
def step_late_service(context):
    async def run():
        world = ProofWorld("a")
        world.services = []
        await world.lead()
        await world.pass_time(1.0)
        world.services = [SERVICE]
        await world.pass_time(1.0)
        world.leading.cancel()
        granted = [token for _, _, _, token in world.orders._seen]
        assert granted and min(granted) > FIRST_TOKEN, granted

    context.run_async(run())


@then("gateway owner proofs: a keeper that is to grant no more lets others ask a silent server")
def step_quiet_asker(context):
    async def run():
        world = ProofWorld("a")
        ranges = [OwnedRange(0, 99, "a", 4), OwnedRange(100, 199, "a", 4)]
        keepers = [world.make_keeper(SERVICE, each) for each in ranges]
        world.orders.silent.add("a")
        asking = asyncio.ensure_future(keepers[0]._grant())
        await world.clock.advance(1.0)
        await asking
        assert not world.reach.may_grant("a", keepers[1])
        await keepers[0].quiesce()
        assert world.reach.may_grant("a", keepers[1])

    context.run_async(run())


@then("gateway owner proofs: keys that a lost leader has granted to their new owner stay with it")
def step_granted_move(context):
    async def run(is_silent):
        world = ProofWorld()
        owned = OwnedRange(0, KEY_COUNT - 1, "b", 10, (FormerOwner("a"),))
        table = OwnershipTable(SERVICE, (owned,), 10, NO_VERSION)
        world.store.put(OWNERS_PREFIX + SERVICE, table.encode())
        world.orders.remembers_releases = False
        last = KeyGrant(0, KEY_COUNT - 1, 10, HOLD_S)
        world.orders.take("b", last)
        world.orders.waiting.append(("b", last))
        world.orders.silent.update({"b"} if is_silent else ())
        world.hear(1, "boot-9", 4, hold_s=HOLD_S)
        world.name_leader(5)
        world.hear(2, "boot-9", 5)
        await world.lead(LeaderRow(4, "n2", "boot-9", at(1)))
        await world.pass_time(8.0)
        world.orders.take_waiting()
        await world.pass_time(HOLD_S)
        world.leading.cancel()
        assert world.orders.overlap_s() < 1e-6, world.orders.spans
        assert not [each for each in world.orders.spans if each.server_id == "a"]

    context.run_async(run(is_silent=True))
    context.run_async(run(is_silent=False))
