"""Steps on what servers ask for in their answers, at many gateways on virtual time."""

import asyncio

from behave import given, then, when

from indigoworks_lab.crash_simulation.explore_wishes import run_wishes
from indigoworks_lab.crash_simulation.wish_checker import check_wishes


def some_machines(simulation, count, after=0):
    """Return so many machines of each service that run, `after` others of it."""
    services = [service for service, _ in simulation.shape.services]
    return [
        machine
        for each in services
        for machine in simulation.living_machines(each)[after : after + count]
    ]


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


@given(
    "from {at_s:g} s on 1 servers of each service turn one gateway away for {for_s:g} s and "
    "ask for {rest_s:g} s of rest"
)
def step_turn_one_away(context, at_s, for_s, rest_s):
    """Each of these servers turns the first gateway away, and no other."""

    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        context.rest_machines = some_machines(simulation, 1)
        first = next(iter(simulation.gateways))
        for machine in context.rest_machines:
            machine.wishes.turns_away = lambda gateway: gateway == first
            machine.wishes.rest_s = rest_s
        await asyncio.sleep(for_s)
        for machine in context.rest_machines:
            machine.wishes.rest_s = 0.0

    context.rest_from_s, context.rest_until_s = at_s, at_s + for_s
    context.crash_scripts.append(script)


@then("these servers ran requests of the others meanwhile")
def step_others_served(context):
    runs = [
        run
        for machine in context.rest_machines
        for run in machine.runs
        if context.rest_from_s + 1 < run.began_s < context.rest_until_s
    ]
    assert len(runs) > 20, len(runs)


@given(
    "from {at_s:g} s on {count:d} servers more of each service say in all answers that they leave"
)
def step_more_leave(context, at_s, count):
    """Others than those that ask for rest, which are the first three."""

    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        for machine in some_machines(simulation, count, after=3):
            machine.wishes.is_leaving = True

    context.crash_scripts.append(script)


@then("nothing waits for the end of a rest, and who comes back in time is served")
def step_nothing_waits(context):
    """Whoever waits holds a connection in vain; whoever comes after the time that it was told is
    served, as soon as servers take requests again."""
    resting = [each for each in context.crash.answers if "server_rests" in each.text]
    assert resting, "nothing was refused for a rest"
    assert all(0 < each.retry_after_s <= 2.4 for each in resting), resting[:5]
    last_s = max(each.at_s for each in resting)
    later = [each for each in context.crash.answers if each.at_s > last_s + 0.5]
    assert later and all(each.status == 200 for each in later), later[:5]


@given("from {at_s:g} s on {count:d} servers of each service say in all answers that they leave")
def step_say_leaving(context, at_s, count):
    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        for machine in some_machines(simulation, count):
            machine.wishes.is_leaving = True

    context.crash_scripts.append(script)


@given("calls of servers of {caller} to {service} at {per_s:d} a second for {duration_s:g} s")
def step_calls_beside(context, caller, service, per_s, duration_s):
    """Servers' calls come to any gateway, from the servers' own addresses, and are not repeated."""

    async def calls(simulation, callers):
        hosts = [each.address.host for each in simulation.living_machines(caller)]
        for number in range(int(per_s * duration_s)):
            host = hosts[number % len(hosts)]
            simulation.spawn(callers.ask(f"/{service}/call/{number}", host, method="POST"))
            await asyncio.sleep(1 / per_s)

    context.crash_scripts.append(calls)


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


@when("the drawn run {seed:d} of servers' wishes is played")
def step_drawn_wishes(context, seed):
    context.wish_run = run_wishes(seed)


@then("no wish of a server was left unheeded")
def step_all_heeded(context):
    run = context.wish_run
    assert run.report.rests > 0 and run.report.leavings > 0, run
    assert not run.is_broken(), run
