"""Steps on how evenly gateways load servers from late counts."""

from behave import then, when
from even_load_rules import DrawnRule, EarlierRule, ProductRule
from even_load_world import WARM_UP_S, EvenLoadWorld, Plan, merge

from indigoworks.gateway import load_estimate
from indigoworks.gateway.home_slots import home_slots
from indigoworks.gateway.load_evenness import age_label, uneven_requests

PLAYS = 3
"""Plays that are counted together. In one play of 8 s the 99th percentile rests on 20 requests, and
differs by 40 ms between seeds."""

BACK_SERVER, BACK_S, WATCHED_S = 9, 4.0, 0.4
MANY_SPEEDS = tuple(0.5 + each / 68 for each in range(69))
CASES = {
    "with reports one by one": {"is_at_once": False},
    "with reports at once": {},
    "each server slow in turn": {"is_slow_in_turn": True},
    "with a server that comes back": {"away": (BACK_SERVER, 2.0, BACK_S)},
    "with a server that is cold": {"cold_until_s": 4.0},
    "with a silent broker": {"speeds": MANY_SPEEDS, "duration_s": 4.5},
}


@when(
    "even load is played with {gateways:d} gateways at {load:g} of the capacity, "
    "reports every {period_s:g} s, {case}"
)
def step_play(context, gateways, load, period_s, case):
    values = {"duration_s": 9.5, **CASES[case]}
    plan = Plan(gateways=gateways, load=load, period_s=period_s, **values)
    earlier = DrawnRule if gateways > 16 else EarlierRule
    plays = PLAYS if gateways <= 16 else 1
    seeds = [f"{context.seed} {each}" for each in range(plays)]
    context.even_before = merge(EvenLoadWorld(plan, earlier, each).play() for each in seeds)
    context.even_now = merge(EvenLoadWorld(plan, ProductRule, each).play() for each in seeds)
    context.even_played_s = plays * (plan.duration_s - WARM_UP_S)
    if not hasattr(context, "even_plays"):
        context.even_plays = []
    context.even_plays.append((context.even_before, context.even_now, _figures(context)))


def _figures(context):
    return "; ".join(
        f"beyond {each.beyond_share():.3f} beside {each.beside_s / context.even_played_s:.3f} "
        f"held {each.held_beside_s / context.even_played_s:.3f} "
        f"p99 {1000 * each.percentile_s(0.99):.0f} ms"
        for each in (context.even_before, context.even_now)
    )


@then("at most half as many arrivals as by the earlier rule found all slots taken")
def step_beyond(context):
    before, now = context.even_before, context.even_now
    print(_figures(context))
    assert now.beyond_share() <= before.beyond_share() / 2, _figures(context)


@then("requests waited beside an idle slot in at most half of the earlier moments")
def step_beside(context):
    now = context.even_now
    assert now.beside_s <= context.even_before.beside_s / 2, _figures(context)


@then(
    "in all even load plays requests waited beside an idle slot in at most half of the "
    "earlier moments"
)
def step_all_beside(context):
    late = [text for before, now, text in context.even_plays if now.beside_s > before.beside_s / 2]
    assert not late, late


@then("the 99th percentile of callers is not later than by the earlier rule")
def step_percentile(context):
    before, now = context.even_before, context.even_now
    assert now.percentile_s(0.99) <= before.percentile_s(0.99), _figures(context)


@then("the even load server that came back had at most half of the earlier requests")
def step_herd(context):
    before, now = (_most(each) for each in (context.even_before, context.even_now))
    assert 0 < now <= before / 2, (before, now)


def _most(figures):
    return max(
        count
        for at_s, count in figures.most_at[BACK_SERVER]
        if BACK_S <= at_s <= BACK_S + WATCHED_S
    )


@then("the even load cost at age 0 is the least expected time, and differs at age 0.1 s")
def step_exact(context):
    for own in range(4):
        for others in range(4):
            exact_s = load_estimate.least_expected_time_s(own + others, 2, 0.06)
            assert load_estimate.cost_s(own, others, 1.5, 0.0, 2, 0.06) == exact_s
            assert load_estimate.cost_s(own, others, 1.5, 0.1, 2, 0.06) != exact_s


@then("{count:d} even load gateways get all slots of {servers:d} servers, with the same rate each")
def step_assigned(context, count, servers):
    nodes = [f"n{each}" for each in range(count)]
    times_s = {f"s{each}": 0.03 + 0.01 * each for each in range(servers)}
    capacities = [(name, 2, time_s) for name, time_s in times_s.items()]
    homes = [home_slots(each, nodes, capacities) for each in nodes]
    for name in times_s:
        assert abs(sum(each.get(name, 0.0) for each in homes) - 2) < 1e-6, name
    rates = [sum(slots / times_s[name] for name, slots in each.items()) for each in homes]
    assert max(rates) - min(rates) < 1e-6, rates


@then("even load counts of 5, 0 and 2 at 2 slots each are 2 uneven requests")
def step_uneven(context):
    assert uneven_requests([(5, 2), (0, 2), (2, 2)]) == 2
    assert uneven_requests([(5, 2), (2, 2)]) == 0


@then('even load ages 0, 0.05, 0.3 and 0.5 s are labelled "0.05", "0.05", "0.4" and "more"')
def step_labels(context):
    assert [age_label(each) for each in (0, 0.05, 0.3, 0.5)] == ["0.05", "0.05", "0.4", "more"]
