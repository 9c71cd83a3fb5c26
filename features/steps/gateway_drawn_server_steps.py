"""Steps on the choice of a server by many gateways that know the same loads."""

from collections import Counter
from random import Random

from behave import given, then, when
from gateway_world import HOST, ZONE, make_rate_budget, make_record

from indigoworks.common.address import Address
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.server_load import ServerLoad, server_checksum
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks_lab.simulation.core.manual_clock import ManualClock

OTHER_ZONE = "z9"
SERVICE_S = 0.3


def _servers(count, zone, first_number=0):
    return [
        make_record(f"s{first_number + number}", Address(HOST, 1), zone=zone)
        for number in range(count)
    ]


def _make(context, servers, times_s):
    context.drawn_servers = servers
    context.drawn_times_s = times_s
    context.drawn_in_flight = Counter()


@given("{count:d} gateway servers in the own zone, the first a little faster")
def step_little_faster(context, count):
    _make(context, _servers(count, ZONE), [0.95 * SERVICE_S, *[SERVICE_S] * (count - 1)])


@given("{count:d} gateway servers in the own zone, the first three times as fast")
def step_much_faster(context, count):
    _make(context, _servers(count, ZONE), [SERVICE_S / 3, *[SERVICE_S] * (count - 1)])


@given("{near:d} gateway servers in the own zone and {far:d} in another zone")
def step_zones(context, near, far):
    servers = _servers(near, ZONE) + _servers(far, OTHER_ZONE, near)
    _make(context, servers, [SERVICE_S] * len(servers))


@given("the first gateway server is full by the reports")
def step_first_full(context):
    _fill(context, context.drawn_servers[:1])


@when("both gateway servers of the own zone are full by the reports")
def step_zone_full(context):
    _fill(context, context.drawn_servers[:2])


@given("all gateway servers are full by the reports")
def step_all_full(context):
    _fill(context, context.drawn_servers)


def _fill(context, servers):
    for server in servers:
        context.drawn_in_flight[server.server_id] = server.slots


@when("{count:d} gateways of a {size} group choose one each by the same loads")
def step_choose(context, count, size):
    context.drawn = Counter()
    clock = ManualClock()
    loads = tuple(
        ServerLoad(
            server_checksum(server.server_id), context.drawn_in_flight[server.server_id], time_s
        )
        for server, time_s in zip(context.drawn_servers, context.drawn_times_s, strict=True)
    )
    for number in range(count):
        peers = PeerTable(clock)
        assert peers.record_report(PeerReport("n2", "b", 1, 0, 0.0, None, loads, (), 0))
        board = ServerStats(peers, clock)
        random = Random(f"{context.seed} {number}")
        choice = ServerSelector(
            None, board, make_rate_budget(clock), ZONE, random, lambda: size == "large"
        )
        context.drawn[choice.select(context.drawn_servers).server_id] += 1


@then("no gateway server was chosen more than {most:d} times")
def step_at_most(context, most):
    assert max(context.drawn.values()) <= most, context.drawn


@then("the first gateway server was chosen {count:d} times")
def step_first(context, count):
    assert context.drawn["s0"] == count, context.drawn


@then("the first gateway server was chosen {least:d} to {most:d} times")
def step_first_between(context, least, most):
    assert least <= context.drawn["s0"] <= most, context.drawn


@then("only the second gateway server was chosen")
def step_second(context):
    assert set(context.drawn) == {"s1"}, context.drawn


@then("only gateway servers of the other zone were chosen")
def step_other_zone(context):
    assert set(context.drawn) == {"s2", "s3"}, context.drawn
