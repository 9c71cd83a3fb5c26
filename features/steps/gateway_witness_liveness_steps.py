"""Steps on grants while witnesses change."""

import asyncio

from behave import then
from gateway_witness_world import HOLD_S, WitnessWorld, process, run_virtual
from result import Err

from indigoworks.rowstore.errors import StoreUnreachable


@then("gateway witnesses: renewals go on while the store takes no writes and a witness is lost")
def step_no_writes(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n5")
        await world.lead("n2", "n3")

        async def refuse(transaction):
            return Err(StoreUnreachable("No answer.", "Wait."))

        world.store.commit = refuse
        world.cut.add("n2")
        assert await longest_gap_s(world, 12.0) < HOLD_S

    run_virtual(run)


@then("gateway witnesses: a peer that never acknowledges delays no grant")
def step_one_never(context):
    async def run():
        world = WitnessWorld("n2", "n4", "n5")
        await world.lead("n2", "n5")
        world.parts["n5"].handle_datagram = lambda data: None
        await asyncio.sleep(1.5)
        waits = []
        for _ in range(300):
            began_s = world.clock.now()
            await world.admit("a")
            waits.append(world.clock.now() - began_s)
            world.replicator.settle("a")
            await asyncio.sleep(0.05)
        late = [round(each, 3) for each in waits if each > 0.1]
        assert not late, (late, len(waits))

    run_virtual(run)


@then("gateway witnesses: peers that never acknowledge stop no renewals")
def step_never(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n4", "n5")
        await world.lead("n2", "n3")
        for node in ("n2", "n3", "n4", "n5"):
            world.parts[node].handle_datagram = lambda data: None
        assert await longest_gap_s(world, 12.0) < HOLD_S

    run_virtual(run)


@then("gateway witnesses: an ended witness of a row that may be in force is needed no more")
def step_ended_attempted(context):
    async def run():
        world = WitnessWorld("n2", "n3", "n5")
        await world.lead("n2", "n3")
        witnesses = world.replicator._witnesses
        await asyncio.sleep(0.5)
        witnesses.add_attempted(frozenset([process("n5")]))
        world.store.is_out = True
        world.boots["n5"] = "boot-later"
        await asyncio.sleep(1.5)
        seen = []
        for _ in range(20):
            await asyncio.sleep(0.05)
            seen.append(process("n5") in witnesses.members())
        assert not any(seen), seen

    run_virtual(run)


async def longest_gap_s(world, duration_s):
    """Renew a server's grants as a keeper does; return the longest time without one admitted."""
    until_s = world.clock.now() + duration_s
    last_s, gaps = world.clock.now(), []
    while world.clock.now() < until_s:
        if await world.admit("a"):
            world.replicator.settle("a")
            gaps.append(world.clock.now() - last_s)
            last_s = world.clock.now()
            await asyncio.sleep(0.5)
        else:
            await asyncio.sleep(0.15)
    gaps.append(world.clock.now() - last_s)
    return max(gaps)
