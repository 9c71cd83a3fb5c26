"""Steps on the group of a request and its weight."""

import asyncio

from behave import given, then, when
from gateway_world import Caller, make_configuration, make_route, until
from hypothesis import given as for_all
from hypothesis import strategies

from indigoworks.routes.share_tree import ServiceShares, ShareTree
from indigoworks.settings.settings_resolver import SettingsResolver
from indigoworks.settings.settings_tree import SettingsTree


@given('gateway routes of the hosts "{one}" and "{other}"')
def hosts(context, one, other):
    routes = [make_route(host, "/", host=host) for host in (one, other)]
    context.gateway.platform.configurations.put_in_force(make_configuration(9, *routes))


def start_of(context, host, target, count):
    async def ask(number):
        caller = await Caller(context.gateway).open()
        return await caller.ask(target=f"{target}{number}", host=host)

    async def run():
        return [asyncio.ensure_future(ask(number)) for number in range(count)]

    context.gateway_callers = getattr(context, "gateway_callers", []) + context.run_async(run())


@when('gateway callers of "{host}" fill the server')
def host_fills(context, host):
    start_of(context, host, "/fill-", context.gateway_limit)
    context.run_async(until(lambda: len(context.gateway_server.working) == context.gateway_limit))


@when('{count:d} gateway callers of "{one}" and then {few:d} of "{other}" wait')
def hosts_wait(context, count, one, few, other):
    queue = context.gateway.side.queue
    start_of(context, one, "/flood-", count)
    context.run_async(until(lambda: sum(queue.waiting_by_service().values()) == count))
    start_of(context, other, "/calm-", few)
    context.run_async(until(lambda: sum(queue.waiting_by_service().values()) == count + few))


@then('the gateway server got the request of "{other}" before the {count:d} that came earlier')
def calm_first(context, other, count):
    async def all_of_them():
        return await asyncio.gather(*context.gateway_callers)

    answers = context.run_async(all_of_them())
    assert {each.status for each in answers} == {200}, answers
    targets = [each.target for each in context.gateway_server.requests]
    assert targets[-count - 1 :][0] == "/calm-0", targets


NAMES = strategies.sampled_from(["one", "two", "three"])
WEIGHT = strategies.none() | strategies.integers(1, 9).map(float)


@then("gateway weights: for all trees the gateway finds the weight that the settings tree gives")
def same_weights(context):
    by_name = strategies.dictionaries(NAMES, strategies.integers(1, 9).map(float))
    services = strategies.dictionaries(NAMES, strategies.tuples(WEIGHT, by_name, by_name))

    @for_all(WEIGHT, by_name, services, NAMES, NAMES, strategies.none() | NAMES)
    def check(root, groups, services, service, group, key):
        services.setdefault(service, (None, {}, {}))
        light = ShareTree(
            root, groups, {name: ServiceShares(*each) for name, each in services.items()}
        )
        whole = SettingsTree.model_validate(
            {
                "defaults": {"weight": root},
                "groups": {each: {"weight": groups.get(each)} for each in (*groups, group)},
                "services": {
                    name: {
                        "weight": weight,
                        "groups": {each: {"weight": value} for each, value in of_groups.items()},
                        "keys": {each: {"weight": value} for each, value in of_keys.items()},
                    }
                    for name, (weight, of_groups, of_keys) in services.items()
                },
            }
        )
        leaf = None if key is None else key.encode()
        expected = SettingsResolver(whole).resolve(service, group, leaf).weight
        assert light.weight_of(service, group, key) == expected

    check()
