"""Steps on large configurations at gateways on slow links."""

import asyncio

from behave import given, then, when
from detangle._config import SimConfig
from gateway_choked_link_world import ChokedLinkWorld
from gateway_slow_link_world import SlowLinkWorld

from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop

MAX_STEPS = 10_000_000
SETTLE_S = 8.0
"""Time for the first configuration and, at the end, for the last one, however late it comes."""


def run(context, work):
    """Run a step on the scenario's virtual time."""
    return context.link_loop.run_until_complete(work)


@given(
    "{slow:d} gateways on links of {slow_mbit:g} Mbit/s and {fast:d} on links of {fast_mbit:g}"
    " Mbit/s, in one zone of a large group"
)
def step_gateways(context, slow, slow_mbit, fast, fast_mbit):
    make_gateways(context, slow, slow_mbit, fast, fast_mbit, SlowLinkWorld)


@given(
    "{slow:d} gateways on links of {slow_mbit:g} Mbit/s, where packets queue, and {fast:d} on links"
    " of {fast_mbit:g} Mbit/s"
)
def step_queued(context, slow, slow_mbit, fast, fast_mbit):
    make_gateways(context, slow, slow_mbit, fast, fast_mbit, ChokedLinkWorld)


def make_gateways(context, slow, slow_mbit, fast, fast_mbit, make_world):
    loop = context.link_loop = FaultyLoop(SimConfig(reorder=False, max_steps=MAX_STEPS))

    def end():
        with silent_disposal():
            dispose(loop)

    context.add_cleanup(end)

    async def make():
        context.links = make_world()
        context.links.add(slow, slow_mbit)
        context.links.add(fast, fast_mbit)

    run(context, make())


@given("{count:d} gateways on links of {mbit:g} Mbit/s in another zone of that group")
def step_other_zone(context, count, mbit):
    async def add():
        context.links.add(count, mbit, "z2")

    run(context, add())


@given("those gateways learn of each other {after_s:g} s after their start")
def step_learn(context, after_s):
    context.links.learn_after_s = after_s


@given("requests take {rate:g} MB/s of each of those links")
def step_traffic(context, rate):
    async def add():
        context.links.add_traffic(rate * 1e6)

    run(context, add())


@given("the first of those gateways leads")
def step_leads(context):
    context.links.leader = context.links.gateways[0].node


@when("requests keep packets waiting for {queued_s:g} s on each slow link")
def step_choke(context, queued_s):
    async def begin():
        # More than the links carry: the queue is as long as the step says.
        work = context.links.choke(queued_s, 0.7e6)
        context.links.tasks.append(asyncio.ensure_future(work))
        await asyncio.sleep(SETTLE_S / 2)

    run(context, begin())


@when("the store's answers with a change of that configuration are lost for {duration_s:g} s")
def step_lost(context, duration_s):
    async def lose():
        context.links.store.loses_answers = True
        context.links.put(context.random, context.route_count)
        await asyncio.sleep(duration_s)
        context.links.store.loses_answers = False
        await asyncio.sleep(SETTLE_S)

    run(context, lose())


@given("the store of those gateways answers after {latency_s:g} s")
def step_slow_store(context, latency_s):
    context.links.store.latency_s = latency_s


@given("those gateways take new settings each {period_s:g} s")
def step_settings(context, period_s):
    async def begin():
        context.links.tasks.append(asyncio.ensure_future(context.links.reload(period_s)))

    run(context, begin())


@given("a configuration of {count:d} routes is in force at all those gateways")
def step_first(context, count):
    async def put():
        context.route_count = count
        context.links.put(context.random, count)
        context.links.start()
        await asyncio.sleep(SETTLE_S)
        assert all(1 in each.in_force_s for each in context.links.gateways)

    run(context, put())


@when("the strongest of those gateways freezes")
def step_freezes(context):
    async def freeze():
        context.links.strong()[0].freeze()

    run(context, freeze())


@when("both strong gateways of the first zone freeze")
def step_both_freeze(context):
    async def freeze():
        for each in context.links.strong():
            each.freeze()

    run(context, freeze())


@when("{count:d} changes of that configuration come, one each {gap_s:g} s")
def step_changes(context, count, gap_s):
    async def change():
        for _ in range(count):
            context.links.put(context.random, context.route_count)
            await asyncio.sleep(gap_s)
        await asyncio.sleep(SETTLE_S)

    run(context, change())


async def living(links):
    return links.live()


@then(
    "each of those versions was in force at every gateway within {bound_s:g} s of the store's"
    " having it"
)
def step_in_time(context, bound_s):
    put_s = context.links.store.put_s
    live = run(context, living(context.links))
    late = {
        (each.node, version): round(each.in_force_s.get(version, float("inf")) - at_s, 2)
        for each in live
        for version, at_s in put_s.items()
        if version > 1 and each.in_force_s.get(version, float("inf")) - at_s > bound_s
    }
    assert not late, late
