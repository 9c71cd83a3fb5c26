"""Steps on limits that servers name, at many gateways on virtual time."""

import asyncio
from collections import defaultdict
from dataclasses import replace
from itertools import pairwise

from behave import given, then, when
from gateway_rest_steps import some_machines

from indigoworks_lab.crash_simulation.explore_limits import run_limits
from indigoworks_lab.crash_simulation.explore_told import run_told
from indigoworks_lab.crash_simulation.limit_checker import CONTACT_S, check_limits

SERVED = 200
LIMITED = "server_limited"


@given("brokers that gateways reach")
def step_brokers(context):
    context.crash_shape = replace(context.crash_shape, has_brokers=True)
    context.limit_excuses = []


def name_limit(context, machines, per_s):
    now_s = asyncio.get_running_loop().time()
    for machine in machines:
        machine.wishes.set_limit(now_s, per_s)


@given(
    "from {at_s:g} s on {count:d} servers of each service name a limit of {per_s:g} a second "
    "for {for_s:g} s"
)
def step_name_limit(context, at_s, count, per_s, for_s):
    context.limit_span_s = (at_s, at_s + for_s)
    context.limit_per_s = per_s

    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        machines = context.limited_machines = some_machines(simulation, count)
        name_limit(context, machines, per_s)
        await asyncio.sleep(for_s)
        name_limit(context, machines, None)

    context.crash_scripts.append(script)


@given("the limit changes to {per_s:g} a second after {at_s:g} s")
def step_change_limit(context, per_s, at_s):
    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        name_limit(context, context.limited_machines, per_s)

    context.crash_scripts.append(script)


@given("the limit is another one in each answer, of {low:g} and {high:g} a second")
def step_alternate(context, low, high):
    """Answers come more often than each 0.1 s; the mean of the two is what the server takes."""

    async def script(simulation, callers):
        begin_s, end_s = context.limit_span_s
        await asyncio.sleep(begin_s + 0.05)
        number = 0
        while asyncio.get_running_loop().time() < end_s:
            name_limit(context, context.limited_machines, (low, high)[number % 2])
            number += 1
            await asyncio.sleep(0.1)

    context.crash_scripts.append(script)


@given("{count:d} gateways that stand still from {at_s:g} s on for {for_s:g} s")
def step_freeze(context, at_s, count, for_s):
    async def script(simulation, callers):
        await asyncio.sleep(at_s)
        nodes = list(simulation.gateways)[:count]
        for node in nodes:
            simulation.frozen.freeze(node)
            context.limit_excuses.append((node, at_s, at_s + for_s + CONTACT_S))
        await asyncio.sleep(for_s)
        for node in nodes:
            simulation.frozen.thaw(node)

    context.crash_scripts.append(script)


@given("between {begin_s:g} and {end_s:g} s the gateways of one zone hear no others")
def step_cut_zone(context, begin_s, end_s):
    """The users excuse machines that are cut; this design does not need it."""

    async def script(simulation, callers):
        await asyncio.sleep(begin_s)
        zone_of = {each.node: each.address.zone for each in simulation.gateways.values()}
        simulation.is_cut = lambda sender, receiver: (
            (zone_of[sender] == "z1") != (zone_of[receiver] == "z1")
        )
        await asyncio.sleep(end_s - begin_s)
        simulation.is_cut = lambda sender, receiver: False

    context.crash_scripts.append(script)


@given("between {begin_s:g} and {end_s:g} s no zone hears another")
def step_cut_zones(context, begin_s, end_s):
    """Two cuts at once: each zone is a group of its own, and all reach the store."""

    async def script(simulation, callers):
        await asyncio.sleep(begin_s)
        zone_of = {each.node: each.address.zone for each in simulation.gateways.values()}
        simulation.is_cut = lambda sender, receiver: zone_of[sender] != zone_of[receiver]
        await asyncio.sleep(end_s - begin_s)
        simulation.is_cut = lambda sender, receiver: False

    context.crash_scripts.append(script)


@given('between {begin_s:g} and {end_s:g} s zone "{zone}" does not hear the others')
def step_deaf_zone(context, begin_s, end_s, zone):
    async def script(simulation, callers):
        await asyncio.sleep(begin_s)
        zone_of = {each.node: each.address.zone for each in simulation.gateways.values()}
        simulation.is_cut = lambda sender, receiver: zone_of[receiver] == zone != zone_of[sender]
        await asyncio.sleep(end_s - begin_s)
        simulation.is_cut = lambda sender, receiver: False

    context.crash_scripts.append(script)


@given("patient requests beside them at {per_s:d} a second for {duration_s:g} s")
def step_patient(context, per_s, duration_s):
    async def beside(simulation, callers):
        services = [name for name, _ in simulation.shape.services]
        await asyncio.gather(*(callers.send_patient(each, per_s, duration_s) for each in services))

    context.crash_scripts.append(beside)


def report_of(context):
    def is_excused(node, at_s):
        excuses = context.limit_excuses
        return any(each == node and begin_s <= at_s <= end_s for each, begin_s, end_s in excuses)

    machines = [each.wishes for each in context.crash.machines.values()]
    return check_limits(machines, is_excused)


@then("no server got more than it takes from gateways that it had told")
def step_kept(context):
    report = report_of(context)
    assert report.limited > 0 and report.told > 0 and report.checked > 0, report
    assert not report.breaches, (len(report.breaches), report.breaches[:4], report.told)


def runs_between(context, machines, begin_s, end_s):
    return [run for machine in machines for run in machine.runs if begin_s <= run.began_s < end_s]


@then("servers of {service} that name a limit are given {share:g} of it at least")
def step_used(context, service, share):
    begin_s, end_s = context.limit_span_s
    machines = [each for each in context.limited_machines if each.service == service]
    count = len(runs_between(context, machines, begin_s + 1.0, end_s))
    takes = context.limit_per_s * (end_s - begin_s - 1.0) * len(machines)
    assert count >= share * takes, (count, takes)


def tries_by_target(context):
    tries = defaultdict(list)
    for each in context.crash.answers:
        tries[each.target].append(each)
    return tries


@then("no more than {share:g} of the requests to {service} were never served")
def step_unserved(context, share, service):
    tries = {
        target: answers
        for target, answers in tries_by_target(context).items()
        if target.startswith(f"/{service}/")
    }
    unserved = [each[-1] for each in tries.values() if each[-1].status != SERVED]
    assert tries and len(unserved) <= share * len(tries), (len(unserved), len(tries), unserved[:3])


@then("{share:g} of those who come back when a limit lets them are served")
def step_times_hold(context, share):
    served = came = 0
    for answers in tries_by_target(context).values():
        for earlier, later in pairwise(answers):
            if LIMITED in earlier.text:
                came += 1
                served += later.status == SERVED
    assert came > 20 and served >= share * came, (served, came)


@then("requests that a limit refuses are refused within {most_s:g} s, with a time to come back")
def step_refused_soon(context, most_s):
    refused = [each for each in context.crash.answers if LIMITED in each.text]
    assert refused, "nothing was refused for a limit"
    assert all(each.retry_after_s > 0 for each in refused), refused[:3]
    late = [each for each in refused if each.at_s - each.sent_s > most_s]
    assert not late, (len(late), len(refused), late[:3])


@then("{service} servers have {share:g} of their usual work again {after_s:g} s after the limit")
def step_back(context, service, share, after_s):
    """Over the 2 s from then on, against the mean of the other servers."""
    begin_s = context.limit_span_s[1] + after_s
    machines = [each for each in context.crash.machines.values() if each.service == service]
    limited = [each for each in machines if each in context.limited_machines]
    others = [each for each in machines if each not in context.limited_machines]
    mean = len(runs_between(context, limited, begin_s, begin_s + 2.0)) / len(limited)
    usual = len(runs_between(context, others, begin_s, begin_s + 2.0)) / len(others)
    assert mean >= share * usual, (mean, usual)


@when("the drawn run {seed:d} of callers who come back as told is played")
def step_drawn_told(context, seed):
    context.told_run = run_told(seed)


@then("{share:g} of those who came back in it were served")
def step_drawn_served(context, share):
    run = context.told_run
    assert run.came > 20 and run.served >= share * run.came, run


@when("the drawn run {seed:d} of servers' limits is played")
def step_drawn(context, seed):
    context.limit_run = run_limits(seed)


@then("in the drawn run no server got more than it takes")
def step_drawn_kept(context):
    report = context.limit_run.report
    assert report.limited > 0 and report.told > 0, report
    assert not report.breaches, report.breaches[:4]
