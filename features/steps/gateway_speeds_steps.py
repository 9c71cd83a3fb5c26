"""Steps on the times of requests as a gateway and its peers measured them."""

from behave import given, then, when
from gateway_exchange_steps import loads_of
from gateway_world import HOST, ZONE, make_rate_budget, make_record

from indigoworks.common.address import Address
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks_lab.simulation.core.manual_clock import ManualClock

CHOICES = 30
TOLERANCE_S = 1e-6


def record(server_id):
    return make_record(server_id, Address(HOST, 1))


@given("a gateway board without peers")
def board_alone(context):
    context.board_clock = ManualClock()
    context.board_peers = PeerTable(context.board_clock)
    context.board = ServerStats(context.board_peers, context.board_clock)


@given('a gateway board whose peers measured {slow_s:g} s at "slow" and {fast_s:g} s at "fast"')
def board_with_peers(context, slow_s, fast_s):
    board_alone(context)
    loads = loads_of({"slow": 1}, slow_s) + loads_of({"fast": 1}, fast_s)
    report = PeerReport("n2", "b", 1, 0, 0.0, None, loads, (), 0)
    assert context.board_peers.record_report(report)


@when('the gateway board measures {times} s at "{server_id}"')
def measure(context, times, server_id):
    for text in times.replace(" and ", ", ").replace(" s", "").split(", "):
        started = context.board.start(record(server_id))
        context.run_async(context.board_clock.advance(float(text)))
        context.board.finish(record(server_id), started, True)


@then('the gateway board gives every request to "{server_id}" while both have room')
def chosen(context, server_id):
    choice = ServerSelector(
        None, context.board, make_rate_budget(context.board_clock), ZONE, context.random
    )
    records = [record("slow"), record("fast")]
    chosen_ids = {choice.select(records).server_id for _ in range(CHOICES)}
    assert chosen_ids == {server_id}, chosen_ids


@then('the gateway board tells the leader {slow_s:g} s of "slow" and {fast_s:g} s of "fast"')
def told(context, slow_s, fast_s):
    for server_id, wanted_s in (("slow", slow_s), ("fast", fast_s)):
        told_s = context.board.service_time_by_id_s(server_id)
        assert abs(told_s - wanted_s) < TOLERANCE_S, (server_id, told_s)


@then('the gateway board takes a request at "{server_id}" to last {low_s:g} s to {high_s:g} s')
def lasts(context, server_id, low_s, high_s):
    known_s = context.board.service_time_s(record(server_id))
    assert low_s <= known_s <= high_s, known_s
