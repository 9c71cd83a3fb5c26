"""Steps on harmful requests of many callers, and on pages that many read."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from gateway_crash_steps import SETTLE_S, harmful_target, play

from indigoworks_lab.crash_simulation.crash_simulation import DATAGRAM_S
from indigoworks_lab.crash_simulation.explore import run_seed
from indigoworks_lab.crash_simulation.harm_checker import check_harm
from indigoworks_lab.crash_simulation.machine_connection import LINK_S
from indigoworks_lab.crash_simulation.outages import Outages

READERS = 30
ROOMY = {"slots": 4, "move_s": 3.1}
ASKED_AGAIN_S = 0.5
SERVED = 200


@when(
    "a request to {service} that ends its servers comes {count:d} times, one each {gap_s:g} s, "
    "from as many callers"
)
def step_many_callers(context, service, count, gap_s):
    async def repeats(simulation, callers):
        await asyncio.sleep(SETTLE_S)
        target = harmful_target(service)
        simulation.harmful.add(target)
        for number in range(count):
            await callers.repeat(target, f"10.9.1.{number}", 1, gap_s)
        await asyncio.sleep(2 * SETTLE_S)

    context.crash_scripts.append(repeats)
    play(context)


@given("a page of {service} that 30 callers read {per_s:d} times a second for {duration_s:g} s")
def step_page_of_many(context, service, per_s, duration_s):
    async def read(simulation, callers):
        for number in range(int(per_s * duration_s)):
            caller = f"10.9.2.{number % READERS}"
            simulation.spawn(callers.ask(f"/{service}/page", caller))
            await asyncio.sleep(1 / per_s)

    context.crash_scripts.append(read)


@then("none of the last answers on the page refused it for that")
def step_page_not_refused(context):
    answers = [each for each in context.crash.answers if each.target.endswith("/page")]
    assert not any("quarantined" in each.text for each in answers[-20:]), answers[-20:]


@then("no request of many callers reached more than 3 servers later than 3 s after the third end")
def step_bounded(context):
    report = check_harm(context.crash.runs(), context.crash.answers, Outages(), "harmful")
    assert report.ended, report
    assert not report.violations(), report


@when(
    "a request to {service} ends its servers {count:d} times, and is asked for by many callers "
    "until {until_s:g} s later"
)
def step_heals(context, service, count, until_s):
    async def asked(simulation, callers):
        await asyncio.sleep(SETTLE_S)
        target = harmful_target(service)
        simulation.harmful.add(target)
        for number in range(count):
            await callers.repeat(target, f"10.9.1.{number}", 1, 3.5)
        simulation.harmful.discard(target)
        context.harmless_from_s = asyncio.get_running_loop().time()
        for number in range(int(until_s / ASKED_AGAIN_S)):
            await callers.repeat(target, f"10.9.2.{number % READERS}", 1, ASKED_AGAIN_S)

    context.crash_scripts.append(asked)
    play(context)


def last_end_s(context, service):
    runs = [each for each in context.crash.runs() if each.target == harmful_target(service)]
    return runs[2].began_s


@then("at most {count:d} runs of it began while it did harm")
def step_runs_in_harm(context, count):
    target = harmful_target("scheduler")
    runs = [each for each in context.crash.runs() if each.target == target]
    harmful = [each for each in runs if each.began_s < context.harmless_from_s]
    assert 0 < len(harmful) <= count, harmful


@given("servers of 4 slots, whose keys move after 3.1 s")
def step_roomy(context):
    context.crash_shape = replace(context.crash_shape, **ROOMY)


@then("at most {count:d} runs of it began later than 3 s after the third run that ended its server")
def step_runs_after_third(context, count):
    """As the users count: a server that ends with three runs in hand has ended three runs."""
    runs = [each for each in context.crash.runs() if "harmful" in each.target]
    assert len(runs) >= 3, runs
    later = [each for each in runs if each.began_s > runs[2].began_s + 3.05]
    assert len(later) <= count, (len(later), [round(each.began_s, 2) for each in runs])


@when("the drawn run {seed:d} of harmful requests of many callers is played")
def step_drawn_of_many(context, seed):
    context.harm_report = run_seed(seed, is_of_many=True)


@when("the drawn run {seed:d} of harmful requests with cuts of zones is played")
def step_drawn_with_cuts(context, seed):
    context.harm_report = run_seed(seed, has_zone_cuts=True)


@then("callers were told the time after which it is tried anew")
def step_told_time(context):
    until_s = last_end_s(context, "scheduler") + 60
    told = [each for each in context.crash.answers if "quarantined" in each.text]
    assert told, "nothing was refused"
    # Word of an end takes a moment.
    assert all(abs(each.at_s + each.retry_after_s - until_s) < 0.5 for each in told), told[:3]


@then("it was served to all from {after_s:g} s after the third end on")
def step_served_again(context, after_s):
    from_s = last_end_s(context, "scheduler") + after_s
    later = [each for each in context.crash.answers if each.at_s > from_s]
    assert len(later) > READERS, len(later)
    assert all(each.status == SERVED for each in later), later[:3]


@then("no caller of the page was refused because another try of it was under way")
def step_not_held_up(context):
    pages = [each for each in context.crash.answers if each.target.endswith("/page")]
    refused = [each for each in pages if "suspect" in each.text]
    assert len(pages) > 400, len(pages)
    assert not refused, (len(refused), refused[:3])


@then(
    "at most two servers ended under it beside those that it reached before word of the first end"
)
def step_in_hand(context):
    """Word of an end comes one run and one way after the first try; three ends refuse a request,
    and those of tries that were sent before it are one."""
    runs = [each for each in context.crash.runs() if "harmful" in each.target]
    word_s = runs[0].began_s + context.crash_shape.crash_s + LINK_S + DATAGRAM_S
    tries = [each for each in context.crash.answers if "harmful" in each.target]
    unknowable = sum(each.sent_s <= word_s for each in tries)
    ended = {each.server_id for each in runs}
    began_s = [round(each.began_s, 3) for each in runs]
    assert len(ended) <= unknowable + 2, (len(ended), unknowable, began_s)
