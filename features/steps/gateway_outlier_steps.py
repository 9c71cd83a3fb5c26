"""Steps on servers that fail fast, at several gateways on virtual time."""

import asyncio

from behave import given, then, when
from gateway_outlier_world import HARMFUL_TARGET, UNSAFE, OutlierWorld

from indigoworks_lab.crash_simulation.callers import Callers
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.machine_fault import MachineFault
from indigoworks_lab.crash_simulation.path_cuts import PathCut

SEED = 20
FULL_SHARE = 0.75
"""Part of its share that a server has at least again; the rest is chance and its zone."""


@given(
    "{gateways:d} outlier gateways before {servers:d} servers, and {callers:d} callers without a "
    "pause"
)
def step_world(context, gateways, servers, callers):
    make_world(context, gateways, servers, callers, is_keyed=False)


@given(
    "{gateways:d} outlier gateways before {servers:d} servers with keys, and {callers:d} callers "
    "without a pause"
)
def step_keyed_world(context, gateways, servers, callers):
    make_world(context, gateways, servers, callers, is_keyed=True)


def make_world(context, gateways, servers, callers, is_keyed):
    shape = CrashShape(gateways=gateways, servers=servers, services=(("shop", is_keyed),), slots=4)
    context.outliers = OutlierWorld(shape, callers)


@given("from {from_s:g} s to {until_s:g} s {count:d} of these servers {fault}")
def step_fail(context, from_s, until_s, count, fault):
    world = context.outliers
    world.fails_from_s, world.fails_until_s = from_s, until_s

    async def fail(world):
        machines = world.choose_faulty(count)
        await asyncio.sleep(from_s)
        for machine in machines:
            machine.fault = MachineFault(fault)
        await asyncio.sleep(until_s - from_s)
        for machine in machines:
            machine.fault = None

    world.scripts.append(fail)


@given(
    "from {from_s:g} s to {until_s:g} s in turn {count:d} of these servers for {each_s:g} s each "
    "{fault}"
)
def step_flap(context, from_s, until_s, count, each_s, fault):
    world = context.outliers

    async def flap(world):
        machines = world.choose_faulty(count)
        await asyncio.sleep(from_s)
        for turn in range(int((until_s - from_s) / each_s)):
            machine = machines[turn % count]
            machine.fault = MachineFault(fault)
            now_s = asyncio.get_running_loop().time()
            world.phases.append((machine.server_id, now_s, now_s + each_s))
            await asyncio.sleep(each_s)
            machine.fault = None

    world.scripts.append(flap)


@then("the flapping servers got less than {share:g} of all requests while they failed")
def step_flap_share(context, share):
    world = context.outliers
    assert world.phases
    sent = total = 0
    for server_id, from_s, until_s in world.phases:
        arrivals = world.arrivals(from_s, until_s)
        sent, total = sent + arrivals[server_id], total + arrivals.total()
    assert sent < share * total, (sent, total)


@given("each of these servers answers {share:g} of its requests with its own 500")
def step_honest(context, share):
    async def set_errors(world):
        for machine in world.machines():
            machine.honest_errors = share

    context.outliers.scripts.append(set_errors)


@given("from {from_s:g} s to {until_s:g} s one outlier gateway has lost its path to servers")
def step_cut(context, from_s, until_s):
    async def cut(world):
        node = next(iter(world.simulation.gateways))
        await asyncio.sleep(from_s)
        world.simulation.path_cuts.begin([node], PathCut.REFUSED)
        await asyncio.sleep(until_s - from_s)
        world.simulation.path_cuts.heal()

    context.outliers.scripts.append(cut)


@given("these servers reset what comes beyond their slots")
def step_reset_when_full(context):
    async def limit(world):
        for machine in world.machines():
            machine.resets_when_full = True

    context.outliers.scripts.append(limit)


@given("one caller sends a request {per_s:d} times a second that each server answers with 500")
def step_harmful_request(context, per_s):
    async def repeat(world):
        for machine in world.machines():
            machine.fails_on = HARMFUL_TARGET
        count = int(per_s * 7)
        await Callers(world.simulation).repeat(HARMFUL_TARGET, "10.9.0.1", count, 1 / per_s)

    context.outliers.scripts.append(repeat)


@given("half of the outlier callers send requests that may not be repeated")
def step_unsafe(context):
    context.outliers.unsafe_share = 0.5


@when("the outlier callers have worked for {duration_s:g} s")
def step_play(context, duration_s):
    context.outliers.play(duration_s, SEED)


@then(
    "each faulty server got less than {share:g} of all requests from {after_s:g} s after it began "
    "to fail"
)
def step_share(context, share, after_s):
    world = context.outliers
    shares = world.shares(world.fails_from_s + after_s, world.fails_until_s)
    found = {each: shares[each] for each in world.faulty}
    assert found and all(each < share for each in found.values()), shares


@then(
    "the faulty servers together got their full share again from {after_s:g} s after their recovery"
)
def step_full_share(context, after_s):
    world = context.outliers
    shares = world.shares(world.fails_until_s + after_s, world.duration_s)
    expected = len(world.faulty) / len(shares)
    found = sum(shares[each] for each in world.faulty)
    assert found >= FULL_SHARE * expected, (found, shares)


@then("at least {share:g} of all outlier requests were served")
def step_served(context, share):
    answers = context.outliers.answers()
    served = sum(1 for each in answers if each.status == 200)
    assert served >= share * len(answers), (served, len(answers))


@then("no server but the faulty ones was ejected")
def step_only_faulty(context):
    world = context.outliers
    assert world.ejected and world.ejected <= world.faulty, (world.ejected, world.faulty)


@then("no server was ejected")
def step_none_ejected(context):
    assert not context.outliers.ejected, context.outliers.ejected


@then("no report told of a fault")
def step_nothing_shared(context):
    assert not context.outliers.evidence, context.outliers.evidence[:5]


@then("every server got requests in each second")
def step_every_second(context):
    world = context.outliers
    for second in range(1, int(world.duration_s)):
        arrivals = world.arrivals(second, second + 1)
        assert all(arrivals[each.server_id] for each in world.machines()), (second, arrivals)


@then("full servers reset connections, and no server was ejected")
def step_resets(context):
    world = context.outliers
    resets = sum(machine.resets for machine in world.machines())
    assert resets > 20, resets
    assert not world.ejected, (world.ejected, resets)


@then(
    "no request that may not be repeated reached a faulty server from {after_s:g} s after it began "
    "to fail"
)
def step_no_unsafe(context, after_s):
    world = context.outliers
    sent = [
        each
        for machine in world.machines()
        if machine.server_id in world.faulty
        for each in machine.wishes.arrivals
        if world.fails_from_s + after_s <= each.at_s < world.fails_until_s
    ]
    assert sent, "no trial reached the server"
    assert not [each for each in sent if each.target.startswith(f"/{UNSAFE}/")], sent[:5]


@then("requests for its keys were refused with a time to come back, in less than {within_s:g} s")
def step_refused(context, within_s):
    refused = [each for each in context.outliers.answers() if "server_fails" in each.text]
    assert len(refused) > 20, len(refused)
    for each in refused:
        assert each.status == 503 and each.retry_after_s > 0, each
        assert each.at_s - each.sent_s < within_s, each


@then("all outlier requests were served from {after_s:g} s after the recovery")
def step_all_served(context, after_s):
    world = context.outliers
    answers = world.answers(world.fails_until_s + after_s)
    assert answers and all(each.status == 200 for each in answers), [
        each for each in answers if each.status != 200
    ][:5]
