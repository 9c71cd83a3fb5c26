"""Steps on brokers that give out places at servers."""

import asyncio

from behave import given, then, when
from detangle._config import SimConfig
from gateway_broker_world import ZONE, Asked, BrokerWorld

# isort: split
from platform_folder_store_stand_in import FOLDER  # noqa: F401

# isort: split

from indigoworks.broker.slot_release import SlotRelease
from indigoworks.gateway.refusal import RefusalReason
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop

MAX_STEPS = 10_000_000

END_S = 1.5
"""Time after the last request within which each has ended."""


@given("{count:d} gateways whose broker grants slots of {servers:d} servers with {slots:d} slots")
def step_gateways(context, count, servers, slots):
    loop = context.broker_loop = FaultyLoop(SimConfig(reorder=False, max_steps=MAX_STEPS))

    def end():
        with silent_disposal():
            dispose(loop)

    context.add_cleanup(end)

    async def make():
        context.brokers = BrokerWorld(count, servers, slots)
        context.brokers.start()

    run(context, make())


def run(context, work):
    """Run a step on the scenario's virtual time."""
    return context.broker_loop.run_until_complete(work)


@given("every {number:d}th datagram between gateways is lost")
def step_losses(context, number):
    context.brokers.lost_every = number


@given("{count:d} requests are in flight there by the reports")
def step_reported(context, count):
    context.brokers.reported["s0"] = count


def acting(context):
    async def find():
        return context.brokers.acting()

    return run(context, find())


def run_for(context, duration_s):
    async def act():
        await asyncio.sleep(duration_s)

    run(context, act())


@when(
    "{count:d} requests come to these gateways within {duration_s:g} s, "
    "each for {work_s:g} s of work"
)
def step_requests(context, count, duration_s, work_s):
    start_requests(context, count, duration_s, work_s, False)


def start_requests(context, count, duration_s, work_s, is_urgent):
    world = context.brokers

    async def act():
        world.spawn(world.requests(count, duration_s, work_s, is_urgent))
        await asyncio.sleep(0.0 if is_urgent else 0.01)

    run(context, act())


@when(
    "{count:d} urgent requests come to these gateways within {duration_s:g} s, "
    "each for {work_s:g} s of work"
)
def step_urgent(context, count, duration_s, work_s):
    start_requests(context, count, duration_s, work_s, True)


def finish(context):
    run_for(context, 5.0 + END_S)


@then("no server had more than {most:d} requests at a time")
def step_most(context, most):
    finish(context)
    assert max(context.brokers.most.values()) <= most, context.brokers.most


@then("all {count:d} requests got a slot within {most_s:g} s")
def step_all_placed(context, count, most_s):
    asked = context.brokers.asked
    assert len(asked) == count, len(asked)
    assert not any(each.is_refused for each in asked)
    assert max(each.waited_s for each in asked) <= most_s, max(each.waited_s for each in asked)


@then("all urgent requests got a slot within {most_s:g} s")
def step_urgent_placed(context, most_s):
    urgent = [each for each in context.brokers.asked if each.is_urgent]
    assert urgent and not any(each.is_refused for each in urgent)
    assert max(each.waited_s for each in urgent) <= most_s, max(each.waited_s for each in urgent)


@then("some of the other requests were refused with a time to come back")
def step_some_refused(context):
    refused = [each for each in context.brokers.asked if each.is_refused]
    assert refused and not any(each.is_urgent for each in refused)
    assert all(each.placement.reason is RefusalReason.OVERLOAD for each in refused)
    assert all(each.placement.retry_after_s > 0 for each in refused)


@then("each refusal came within {most_s:g} s")
def step_refusals(context, most_s):
    finish(context)
    refused = [each.waited_s for each in context.brokers.asked if each.is_refused]
    assert refused and max(refused) <= most_s, refused


@then("all {count:d} requests ended")
def step_ended(context, count):
    finish(context)
    asked = context.brokers.asked
    assert len(asked) == count
    assert all(each.placement is not None for each in asked)


@then("the broker holds no reservation {after_s:g} s later")
def step_holds_none(context, after_s):
    run_for(context, after_s)
    held = [
        each.broker.reservation_count() for each in context.brokers.gateways.values() if each.is_up
    ]
    assert not any(held), held


@when("the broker of these gateways {ends} after {after_s:g} s of {count:d} requests within 5 s")
def step_broker_ends(context, ends, after_s, count):
    world = context.brokers
    start_requests(context, count, 5.0, 0.1, False)
    run_for(context, after_s)
    context.first_broker = broker = acting(context)
    if ends == "is lost":
        world.lose(broker)
    else:
        broker.broker.is_stopping = True
    run_for(context, 3.0 + END_S)


@then("no request waited longer than {most_s:g} s for a slot or a refusal")
def step_none_longer(context, most_s):
    waits = [each.waited_s for each in context.brokers.asked]
    assert None not in waits
    assert max(waits) <= most_s, max(waits)


@then("another broker acts")
def step_another(context):
    brokers = [each for each in context.brokers.gateways.values() if each.broker._queues]
    assert len(brokers) == 2 and context.first_broker in brokers, brokers


@when("the callers of {count:d} requests leave after {after_s:g} s")
def step_leave(context, count, after_s):
    world = context.brokers
    gateway = world.gateways["n5"]

    async def act():
        tasks = [world.spawn(world.request(gateway, Asked(False), 10.0)) for _ in range(count)]
        await asyncio.sleep(after_s)
        waiting = [each for each in world.asked if each.placement is None]
        assert waiting, "all had a place"
        for task, asked in zip(tasks, world.asked, strict=True):
            if asked.placement is None:
                task.cancel()
        for each in list(world.acting().broker._reservations.values()):
            if each.server is not None:
                world.acting().broker.handle_release(
                    gateway.address.boot, SlotRelease(each.reply.number)
                )

    run(context, act())


@when("gateways with {count:d} slots are lost")
def step_lost_askers(context, count):
    world = context.brokers

    async def act():
        for number in range(count):
            gateway = world.gateways[f"n{5 + number}"]
            world.spawn(world.request(gateway, Asked(False), 0.1, is_lost=True))
        await asyncio.sleep(0.05)
        assert world.acting().broker.reservation_count() == count

    run(context, act())


@when("{count:d} of these gateways say that they cannot reach the first server")
def step_unreached(context, count):
    world = context.brokers

    async def act():
        broker = world.acting().broker
        for number in range(count):
            broker._queue_of(ZONE).unreachable.record_failure("s0", f"b{number}")

    run(context, act())


@then("slots are granted at {count:d} servers")
def step_places_at(context, count):
    world = context.brokers
    world.asked.clear()

    async def act():
        for number in range(4):
            world.spawn(world.request(world.gateways[f"n{9 + number}"], Asked(False), 0.1))
        await asyncio.sleep(0.3)

    run(context, act())
    assert len({each.placement.server_id for each in world.asked}) == count


@when("that broker's servers have rested for {duration_s:g} s")
def step_rest(context, duration_s):
    run_for(context, duration_s)


@when("a request comes to one of these gateways for {work_s:g} s of work")
def step_one(context, work_s):
    world = context.brokers

    async def act():
        world.spawn(world.request(world.gateways["n5"], Asked(False), work_s))
        for _ in range(80):
            await asyncio.sleep(0.01)
            world.acting().broker.servers_changed()

    run(context, act())


@then("it got a slot after {least_s:g} s at the earliest")
def step_earliest(context, least_s):
    (asked,) = context.brokers.asked
    assert not asked.is_refused, asked.placement
    assert asked.waited_s >= least_s, asked.waited_s
