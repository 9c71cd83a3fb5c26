"""Steps on requests under which servers end, at many gateways."""

import asyncio

import detangle
from behave import given, then, when

from indigoworks_lab.crash_simulation.callers import Callers
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation

MAX_STEPS = 50_000_000
SETTLE_S = 1.0
HARMFUL_CALLER = "10.9.0.1"


def harmful_target(service):
    return f"/{service}/harmful"


@given("{gateways:d} crash gateways before {servers:d} servers of each service")
def step_world(context, gateways, servers):
    context.crash_shape = CrashShape(gateways=gateways, servers=servers)
    context.crash_scripts = []


@given("requests beside them at {per_s:d} a second for {duration_s:g} s")
def step_beside(context, per_s, duration_s):
    async def beside(simulation, callers):
        services = [name for name, _ in simulation.shape.services]
        await asyncio.gather(
            *(callers.send_different(each, per_s, duration_s) for each in services)
        )

    context.crash_scripts.append(beside)


@when("a request to {service} that ends its servers comes {count:d} times, one each {gap_s:g} s")
def step_repeats(context, service, count, gap_s):
    async def repeats(simulation, callers):
        await asyncio.sleep(SETTLE_S)
        target = harmful_target(service)
        simulation.harmful.add(target)
        await callers.repeat(target, HARMFUL_CALLER, count, gap_s)
        await asyncio.sleep(2 * SETTLE_S)

    context.crash_scripts.append(repeats)
    play(context)


def play(context):
    """Run all scripts side by side on a simulation of their own."""

    async def main():
        simulation = context.crash = CrashSimulation(context.crash_shape, context.seed)
        simulation.start()
        callers = Callers(simulation)
        try:
            await asyncio.gather(*(each(simulation, callers) for each in context.crash_scripts))
        finally:
            await simulation.finish()

    detangle.run(main, max_steps=MAX_STEPS)


def ended_under(context, target):
    return [each.server_id for each in context.crash.runs() if each.target == target]


@then("at most {count:d} servers ended under the request to {service}")
def step_ended(context, count, service):
    ended = ended_under(context, harmful_target(service))
    assert ended, "the request reached no server"
    assert len(ended) <= count, (len(ended), ended)


def unserved_beside(context):
    """Return the requests beside the harmful ones that were never answered, and their number."""
    last = {}
    for each in context.crash.answers:
        if each.target not in context.crash.harmful:
            last[each.target] = each.status
    assert last, "no request came beside them"
    return [target for target, status in last.items() if status != 200], len(last)


@then("{share:g} of the requests beside them at most were never answered")
def step_beside_answered(context, share):
    unserved, count = unserved_beside(context)
    assert len(unserved) <= share * count, (len(unserved), count, unserved[:5])
