"""Steps on a gateway's routes, splits and versions of the configuration."""

from collections import Counter

from behave import given, then, when
from gateway_request_steps import make_world
from gateway_world import ask, make_configuration, make_route
from hypothesis import given as for_all
from hypothesis import strategies

from indigoworks.gateway.weighted_split import WeightedSplit
from indigoworks.routes.configuration_holder import ConfigurationHolder
from indigoworks.routes.route import WeightedService

WEIGHTS = strategies.integers(1, 50)


@given("gateway routes")
def routes(context):
    made = [make_route(row["name"], row["prefix"], host=row["host"]) for row in context.table]
    context.gateway_configuration = make_configuration(1, *made)


@then("these gateway paths find these routes")
def find(context):
    for row in context.table:
        route = context.gateway_configuration.find_route(row["host"], row["path"])
        assert (route.name if route else "none") == row["route"], (row, route)


@given("a gateway without configuration")
def unconfigured(context):
    make_world(context, is_configured=False)


@when("gateway callers ask for these")
def ask_for(context):
    for row in context.table:
        work = ask(context.gateway, host=row["host"], target=row["target"])
        context.gateway_answers.append(context.run_async(work))


def split_route(weights, name="r"):
    services = [WeightedService(f"s{number}", weight) for number, weight in enumerate(weights)]
    return make_route(name, services=services)


@then("gateway split: for all weights of two services each share is right within one")
def split_of_two(context):
    @for_all(WEIGHTS, WEIGHTS, strategies.integers(1, 300))
    def check(first, second, count):
        split, route = WeightedSplit(), split_route([first, second])
        counts = Counter()
        for number in range(1, count + 1):
            counts[split.choose(route)] += 1
            share = number * first / (first + second)
            assert abs(counts["s0"] - share) <= 1, (number, counts, share)

    check()


@then("gateway split: for all weights of several services each share is right over whole rounds")
def split_of_several(context):
    @for_all(strategies.lists(strategies.integers(1, 9), min_size=2, max_size=6))
    def check(weights):
        split, route = WeightedSplit(), split_route(weights)
        for rounds in range(1, 4):
            counts = Counter(split.choose(route) for _ in range(sum(weights)))
            expected = {f"s{number}": weight for number, weight in enumerate(weights)}
            assert counts == expected, (rounds, counts)

    check()


@then("gateway split: routes share nothing, and services that come or go begin anew")
def split_changes(context):
    split = WeightedSplit()
    one, other = split_route([1, 1], "one"), split_route([1, 1], "other")
    chosen = [split.choose(route) for _ in range(4) for route in (one, other)]
    assert Counter(chosen[::2]) == Counter(chosen[1::2]) == {"s0": 2, "s1": 2}
    wider = split_route([1, 1, 1], "one")
    assert Counter(split.choose(wider) for _ in range(3)) == {"s0": 1, "s1": 1, "s2": 1}
    assert {split.choose(split_route([1], "one")) for _ in range(3)} == {"s0"}


@then("gateway configuration: whatever order versions come in, the highest seen is in force")
def versions(context):
    @for_all(strategies.lists(strategies.integers(1, 20), min_size=1))
    def check(order):
        holder, heard = ConfigurationHolder(), []
        assert holder.current() is None
        holder.on_change(lambda each: heard.append(each.version))
        for number, version in enumerate(order):
            holder.put_in_force(make_configuration(version))
            assert holder.current().version == max(order[: number + 1])
        assert heard == sorted(set(heard)) and heard[-1] == max(order)

    check()
