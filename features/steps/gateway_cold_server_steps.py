"""Steps on servers that are cold, and on who may send to them."""

import json
from bisect import bisect_left

from behave import given, then, when
from gateway_control_steps import until
from gateway_control_world import SERVICE
from gateway_world import HOST, make_rate_budget, make_record
from store_versions import at

from indigoworks.broker.broker_selector import BrokerSelector
from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory
from indigoworks.ownership.control_group import CONTROL_TABLE
from indigoworks.rowstore.row import Row
from indigoworks.servers.cold_servers import ColdLimit, ColdServers
from indigoworks.servers.zone_evacuations import ZoneEvacuations
from indigoworks_lab.simulation.core.manual_clock import ManualClock

ZONES = ("z1", "z2", "z3")
COLD_S = 10.0
STEP_S = 0.02


def peer_rows(numbers):
    rows = []
    for number in numbers:
        entry = {"host": HOST, "port": 1, "boot": "b", "zone": ZONES[number % len(ZONES)]}
        key = f"{PEER_PREFIX}n{number}"
        rows.append(Row(CONTROL_TABLE, "", key, json.dumps(entry).encode(), at(number + 1)))
    return rows


@given(
    "{count:d} gateways in 3 zones and a server that bears {rate:g} requests a second "
    "while it is cold"
)
def step_gateways(context, count, rate):
    clock = context.cold_clock = ManualClock()
    context.cold = ColdServers(ZoneEvacuations(clock), clock)
    context.cold.set_limits({"shop": ColdLimit(COLD_S, rate)})
    context.cold_server = make_record("s1", Address(HOST, 1))
    context.cold.record_reported("s1", COLD_S)
    context.cold_budgets = [make_rate_budget(clock, context.cold) for _ in range(count)]
    context.cold_members = [range(count)] * count


@given("half of these gateways do not know of the {count:d} that came last")
def step_half(context, count):
    all_count = len(context.cold_members)
    for number in range(0, all_count, 2):
        context.cold_members[number] = range(all_count - count)


@given("{count:d} of these gateways act as its broker")
def step_brokers(context, count):
    zone = context.cold_server.zone
    context.cold_budgets += [
        make_rate_budget(context.cold_clock, context.cold, zone) for _ in range(count)
    ]


@given("none of these gateways has read the rows of the group")
def step_none(context):
    context.cold_members = [()] * len(context.cold_members)


class Heard:
    """What a gateway hears: everyone."""

    def __init__(self, clock):
        self._clock = clock

    def heard_time_s(self, node):
        return self._clock.now()


def broker_of(context, number, members):
    """Return the node that a gateway which knows these members asks; None: it asks nobody."""
    directory = PeerDirectory(f"n{number}")
    directory.apply(peer_rows(members))
    own = PeerAddress(f"n{number}", "b", ZONES[number % len(ZONES)], Address(HOST, 1))
    clock = context.cold_clock
    choice = BrokerSelector(own, lambda: True, directory, Heard(clock), clock)
    broker = choice.broker("shop", context.cold_server.zone)
    return None if broker is None else broker.node


@then("these gateways ask {least:d} to {most:d} brokers for it")
def step_asked(context, least, most):
    brokers = {
        broker_of(context, number, members) for number, members in enumerate(context.cold_members)
    } - {None}
    assert least <= len(brokers) <= most, brokers


@when("each gateway has a request for it all the time, for {duration_s:g} s")
def step_requests(context, duration_s):
    clock = context.cold_clock
    started_s = clock.now()
    context.cold_sent_s = []

    async def run():
        while clock.now() - started_s < duration_s:
            for budget in context.cold_budgets:
                if budget.has_permit(context.cold_server):
                    budget.consume_permit(context.cold_server)
                    context.cold_sent_s.append(clock.now())
            await clock.advance(STEP_S)

    context.run_async(run())


@then("no second brought the cold server more than {most:d} requests")
def step_no_second(context, most):
    sent_s = context.cold_sent_s
    in_second = [bisect_left(sent_s, at_s + 1.0) - first for first, at_s in enumerate(sent_s)]
    assert max(in_second, default=0) <= most, max(in_second)


@then("the last {last_s:g} s brought the cold server {least:g} to {most:g} requests a second")
def step_rate(context, last_s, least, most):
    since_s = context.cold_clock.now() - last_s
    rate = sum(each >= since_s for each in context.cold_sent_s) / last_s
    assert least <= rate <= most, rate


@when("that server has become warm")
def step_warm(context):
    context.cold.record_reported("s1", 0.0)


@then("each of these gateways may send to it")
def step_each(context):
    assert all(each.has_permit(context.cold_server) for each in context.cold_budgets)


@given(
    "servers of its service bear {rate:g} requests a second for {cold_s:g} s while they are cold"
)
def step_limits(context, rate, cold_s):
    context.gateway_list.cold.set_limits({"shop": ColdLimit(cold_s, rate)})


@when(
    'gateway server entry "{server_id}" comes at port {port:d} with version {version:d}, '
    "cold for {left_s:g} s"
)
def step_cold_entry(context, server_id, port, version, left_s):
    record = make_record(server_id, Address(HOST, port), version, warm_up_left_s=left_s)
    context.gateway_list.put(record)


@then('gateway server "{server_id}" counts as cold')
def step_is_cold(context, server_id):
    assert context.gateway_list.is_cold(server_id)


@then('gateway server "{server_id}" does not count as cold')
def step_is_not_cold(context, server_id):
    assert not context.gateway_list.is_cold(server_id)


@when('gateway control server "{cold}" is cold and "{new}" joins')
def step_cold_and_new(context, cold, new):
    world = context.control
    world.servers.cold.set_limits({SERVICE: ColdLimit(COLD_S, 1.0)})

    async def change():
        world.servers.cold.record_reported(cold, COLD_S)
        world.list_server(new, 40)

    context.run_async(change())


@then('gateway control keys of "{name}" all go to "{other}"')
def step_all_go(context, name, other):
    world = context.control

    def owners():
        return {each.server_id for each in world.tables.table(SERVICE).ranges}

    context.run_async(until(lambda: name not in owners()))
    moved = [each for each in world.tables.table(SERVICE).ranges if each.former]
    assert {each.server_id for each in moved} == {other}, moved
