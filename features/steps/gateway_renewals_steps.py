"""Steps on how often a leader of many ranges renews their grants."""

import math
from collections import Counter

from behave import then, when
from gateway_renewals_world import ORDER_S, RenewalWorld
from gateway_witness_world import run_virtual

from indigoworks.ownership.hold_bounds import MAX_ORDER_DELAY_S
from indigoworks.ownership.hold_policy import HOLD_S

SLACK_S = 0.05
SETTLE_S = 3.0
BUCKET_S = 0.1


def play(context, ranges, servers, work, predecessor_left_s=float("-inf")):
    """Run `work` on a leader whose ranges have been granted."""

    async def run():
        world = context.world = RenewalWorld(ranges, servers, predecessor_left_s)
        context.began_s = world.clock.now()
        world.start()
        await work(world)
        context.ended_s = world.clock.now()
        world.keepers.stop_all()

    run_virtual(run)


@when("renewals are watched for {seconds:g} s with {ranges:d} ranges at {servers:d} servers")
def step_watch(context, seconds, ranges, servers):
    async def work(world):
        await world.run(SETTLE_S)
        context.began_s = world.clock.now()
        await world.run(seconds)

    play(context, ranges, servers, work)


@then("at most {orders:d} renewals a second were sent")
def step_rate(context, orders):
    sent = [at_s for at_s, _, _ in context.world.orders.sent if at_s >= context.began_s]
    rate = len(sent) / (context.ended_s - context.began_s)
    assert 0 < rate <= orders + 0.5, rate


@then("each grant was renewed at intervals of {interval:g} s")
def step_interval(context, interval):
    check_gaps(context.world.gaps(context.began_s), interval)


@then("each grant was renewed at intervals of {interval:g} s from {from_s:g} s on")
def step_interval_from(context, interval, from_s):
    check_gaps(context.world.gaps(context.began_s + from_s), interval)


def check_gaps(gaps, interval):
    assert gaps
    assert interval - SLACK_S <= min(gaps) <= max(gaps) <= interval + SLACK_S, (
        min(gaps),
        max(gaps),
    )


@then("no tenth of a second had more than {burst:d} renewals")
def step_burst(context, burst):
    sent = [at_s for at_s, _, _ in context.world.orders.sent if at_s >= context.began_s]
    counts = Counter(math.floor(each / BUCKET_S) for each in sent)
    assert max(counts.values()) <= burst, max(counts.values())


@when("the store stops answering a leader of {ranges:d} ranges")
def step_store_trouble(context, ranges):
    async def work(world):
        await world.run(SETTLE_S)
        world.prove()
        context.trouble_s = world.clock.now()
        world.is_proved = False
        await world.run(5.0)

    play(context, ranges, 120, work)


@then("{seconds:g} s later all ranges have been granted the longest hold")
def step_long_holds(context, seconds):
    world = context.world
    granted = world.long_grants_after(context.trouble_s, context.trouble_s + seconds)
    assert granted == {each.first for each in world.ranges}, len(granted)


@then("each of them is renewed every {interval:g} s while the trouble lasts")
def step_trouble_interval(context, interval):
    check_gaps(context.world.gaps(context.trouble_s + 1.9), interval)


@when("one server of a leader of {ranges:d} ranges leaves an order unanswered and answers the next")
def step_one_unanswered(context, ranges):
    async def work(world):
        await world.run(SETTLE_S)
        lost = []
        world.orders.is_lost = lambda name, grant: (
            name == "s7" and not lost and not lost.append(grant)
        )
        await world.run(3.0)
        assert lost
        context.began_s = world.clock.now()
        await world.run(MAX_ORDER_DELAY_S + HOLD_S)

    play(context, ranges, 120, work)


@then("its grants are renewed every {interval:g} s for as long as it may apply the order late")
def step_doubtful_interval(context, interval):
    check_gaps(context.world.gaps(context.began_s, servers=lambda name: name == "s7"), interval)


@then("those of all other servers are renewed at intervals of {interval:g} s")
def step_others_interval(context, interval):
    check_gaps(context.world.gaps(context.began_s, servers=lambda name: name != "s7"), interval)


@when(
    "a leader of {ranges:d} ranges takes over while orders of its predecessor may be open for"
    " {seconds:g} s"
)
def step_predecessor(context, ranges, seconds):
    async def work(world):
        await world.run(16.0)

    play(context, ranges, 120, work, seconds)


@then("each grant is renewed every {interval:g} s in these {open_s:g} s and {more:g} s beyond")
def step_predecessor_interval(context, interval, open_s, more):
    began_s = context.began_s + interval + SLACK_S
    check_gaps(context.world.gaps(began_s, context.began_s + open_s + more), interval)


@when("every third renewal of a leader of {ranges:d} ranges is not answered")
def step_third_lost(context, ranges):
    async def work(world):
        await world.run(SETTLE_S)
        counts = Counter()

        def is_lost(name, grant):
            counts[grant.first] += 1
            return counts[grant.first] % 3 == 0

        world.orders.is_lost = is_lost
        await world.run(20.0)

    play(context, ranges, ranges, work)


@then("no hold ended before it was renewed")
def step_no_end(context):
    gaps = context.world.gaps_to(context.ended_s)
    assert max(gaps) + ORDER_S < HOLD_S, max(gaps)


@when("the event loop of a leader of {ranges:d} ranges stands still for {seconds:g} s")
def step_stands_still(context, ranges, seconds):
    async def work(world):
        await world.run(SETTLE_S)
        await world.run(2.0)
        world.clock.awake_s = world.clock.now() + seconds
        await world.run(5.0)

    play(context, ranges, 120, work)


@then("no grant went without a renewal for longer than {seconds:g} s")
def step_longest_gap(context, seconds):
    gaps = context.world.gaps_to(context.ended_s)
    assert max(gaps) <= seconds, max(gaps)
