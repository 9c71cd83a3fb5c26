"""Steps in which a leader's conditional write fails."""

import asyncio

from behave import given, then, when
from gateway_control_world import SERVICE
from gateway_owner_proof_world import ProofWorld
from result import Err

from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.rowstore.errors import ConditionFailed, StoreUnreachable

LEAVING_VERSION = 60
WATCHED_S = 4.0
STEP_S = 0.25


class RefusedWrites:
    """Replaces a store's commit: all fail by a condition; reads wait while `gate` is closed."""

    def __init__(self, store):
        self.read_rows = store.read
        self.gate = asyncio.Event()
        self.failed = 0

    async def commit(self, transaction):
        self.failed += 1
        return Err(ConditionFailed("A row has changed.", "Read it."))

    async def read(self, table, part):
        await self.gate.wait()
        return await self.read_rows(table, part)


async def fail_writes(context, is_read_answered):
    """Let the next write fail by a condition: that of a table after a server began to leave."""
    world = context.proof
    refused = context.refused = RefusedWrites(world.store)
    context.commit_rows = world.store.commit
    world.store.commit, world.store.read = refused.commit, refused.read
    if is_read_answered:
        refused.gate.set()
    world.list_server("a", LEAVING_VERSION, is_draining=True)
    while not refused.failed:
        await world.clock.advance(STEP_S)
    context.grants_before = len(world.orders._seen)


@given('a gateway owner world in which "{first}" has half of the keys, and "{second}" the others')
def step_two_owners(context, first, second):
    async def build():
        context.proof = ProofWorld(first, second)
        await context.proof.lead()
        await context.proof.pass_time(1.0)

    context.run_async(build())


@when(
    "a write of the gateway owner leader fails by a condition, and the store answers nothing for "
    "{duration_s:g} s"
)
def step_unanswered(context, duration_s):
    async def run():
        await fail_writes(context, is_read_answered=False)
        await context.proof.clock.advance(duration_s)

    context.run_async(run())


@when(
    "a write of the gateway owner leader fails by a condition, and it reads the rows as it knew "
    "them"
)
def step_as_known(context):
    async def run():
        await fail_writes(context, is_read_answered=True)
        await context.proof.pass_time(WATCHED_S)

    context.run_async(run())


@when("the store answers the gateway owner leader again, and names it")
def step_answers(context):
    world = context.proof
    # The row was rewritten by this process, by a write whose answer was lost.
    world.store.put(OWNERS_PREFIX + SERVICE, world.tables.table(SERVICE).encode())
    world.store.commit = context.commit_rows
    context.refused.gate.set()


@when("a write of the gateway owner leader is made late, and the next one fails by a condition")
def step_made_late(context):
    world = context.proof
    commit, held_back = world.store.commit, []
    context.failed_conditions = 0

    async def commit_late(transaction):
        if not held_back:
            held_back.append(transaction)
            return Err(StoreUnreachable("No answer.", "Wait."))
        world.store.commit = commit
        assert (await commit(held_back[0])).is_ok()
        result = await commit(transaction)
        context.failed_conditions += result.is_err()
        return result

    async def run():
        world.store.commit = commit_late
        world.list_server("a", LEAVING_VERSION, is_draining=True)
        await world.pass_time(WATCHED_S)
        assert context.failed_conditions == 1, context.failed_conditions

    context.run_async(run())


@then("the gateway owner leader has granted nothing since")
def step_nothing_granted(context):
    granted = context.proof.orders._seen[context.grants_before :]
    assert not granted, granted


@then("the gateway owner leader grants keys again")
def step_grants(context):
    assert len(context.proof.orders._seen) > context.grants_before


@then("the gateway owner leader has left the leadership to others")
def step_left(context):
    assert not context.proof.leadership.may_act()
