"""Steps on what servers ask for in their answers, at many gateways on virtual time."""

import asyncio

from behave import given, then

from indigoworks_lab.crash_simulation.wish_checker import check_wishes


def some_machines(simulation, count):
    """Return so many machines of each service that run."""
    services = [service for service, _ in simulation.shape.services]
    return [machine for each in services for machine in simulation.living_machines(each)[:count]]


@given(
    "from {at_s:g} s on {count:d} servers of each service turn all away for {for_s:g} s and "
    "ask for {rest_s:g} s of rest"
)
def step_turn_away(context, at_s, count, for_s, rest_s):
    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        machines = some_machines(simulation, count)
        for machine in machines:
            machine.wishes.rest_s = rest_s
        await asyncio.sleep(for_s)
        for machine in machines:
            machine.wishes.rest_s = 0.0

    context.crash_scripts.append(script)


@given("from {at_s:g} s on {count:d} servers of each service say in all answers that they leave")
def step_say_leaving(context, at_s, count):
    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        for machine in some_machines(simulation, count):
            machine.wishes.is_leaving = True

    context.crash_scripts.append(script)


def report_of(context):
    return check_wishes(each.wishes for each in context.crash.machines.values())


@then("servers asked for rest and got no more than 2 requests of a gateway within it")
def step_rest_heeded(context):
    report = report_of(context)
    assert report.rests > 0 and report.in_rest == 0, report


@then("servers said that they leave and got no request that was sent 2 s later")
def step_leaving_heeded(context):
    report = report_of(context)
    assert report.leavings > 0 and report.after_leaving == 0, report
