"""Steps on the list of servers that a gateway follows."""

from behave import given, then, when
from gateway_world import HOST, make_record
from hypothesis import given as for_all
from hypothesis import strategies

from indigoworks.common.address import Address
from indigoworks.rowstore.clock_offset import MAX_DRIFT
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers import server_list
from indigoworks.servers.server_list import ServerList
from indigoworks_lab.simulation.core.manual_clock import ManualClock

HEARTBEAT_S = 1.5
SETTLE_S = server_list.MAX_SETTLE_S
"""Two heartbeats and the margin would be longer."""
REST_S = 0.01


@given("a gateway server list")
def a_list(context):
    context.gateway_clock = ManualClock()
    context.gateway_health = StoreHealth(context.gateway_clock)
    context.gateway_list = ServerList(context.gateway_health, HEARTBEAT_S, context.gateway_clock)


def put(context, server_id, port, version, is_draining):
    record = make_record(server_id, Address(HOST, port), version, is_draining=is_draining)
    context.gateway_list.put(record)


@when('gateway server entry "{server_id}" comes at port {port:d} with version {version:d}')
def comes(context, server_id, port, version):
    put(context, server_id, port, version, False)


@when('gateway server entry "{server_id}" comes draining at port {port:d} with version {version:d}')
def comes_draining(context, server_id, port, version):
    put(context, server_id, port, version, True)


@when('gateway server entry "{server_id}" vanishes')
def vanishes(context, server_id):
    context.gateway_list.remove(server_id)


@when('a gateway\'s whole reading holds only "{server_id}"')
def whole_reading(context, server_id):
    context.gateway_list.keep_only({server_id})


@when("the gateway's store has trouble")
def trouble(context):
    context.gateway_health.record_trouble("read", "503")


@when("a relay tells of a trouble of the gateway's store {age_s:g} s ago")
def relayed_trouble(context, age_s):
    now_s = context.gateway_clock.now()
    context.gateway_health.record_relayed(now_s, now_s - age_s)


def advance(context, duration_s):
    context.run_async(context.gateway_clock.advance(duration_s))


@when("nearly the time passes in which the gateway's store settles")
def nearly(context):
    advance(context, SETTLE_S - REST_S / 2)


@when("{time_s:g} s of gateway time pass")
def after_trouble(context, time_s):
    advance(context, time_s)


@when("the rest of that gateway time passes")
def the_rest(context):
    advance(context, REST_S)


@when("the gateway remembers no longer")
def remembers(context):
    advance(context, server_list.RETENTION_S - REST_S)
    context.gateway_list.remove_expired()
    assert context.gateway_list.get("a") is not None
    advance(context, 2 * REST_S)
    context.gateway_list.remove_expired()


def usable_ids(context):
    return {each.server_id for each in context.gateway_list.usable("shop")}


@then('gateway server entry "{server_id}" is usable')
def is_usable(context, server_id):
    assert context.gateway_list.is_usable(server_id)
    assert server_id in usable_ids(context)


@then('gateway server entry "{server_id}" is known and not usable')
def is_not_usable(context, server_id):
    assert context.gateway_list.get(server_id).server_id == server_id
    assert not context.gateway_list.is_usable(server_id)
    assert server_id not in usable_ids(context)


@then('gateway server entry "{server_id}" is not known')
def is_not_known(context, server_id):
    assert context.gateway_list.get(server_id) is None
    assert not usable_ids(context) and context.gateway_list.is_empty()


@then('gateway server entry "{holder_id}" holds the address of "{server_id}"')
def holds_address(context, holder_id, server_id):
    record = context.gateway_list.get(server_id)
    assert context.gateway_list.holder_of_address(record).server_id == holder_id


@then('nobody else holds the address of gateway server entry "{server_id}"')
def nobody_else(context, server_id):
    record = context.gateway_list.get(server_id)
    assert context.gateway_list.holder_of_address(record) is None


@then("gateway store health: an answer proves no more than the store's clock allows")
def health(context):
    times = strategies.floats(0.0, 5.0)
    calls = strategies.lists(strategies.tuples(times, times, times), min_size=1)

    @for_all(calls, strategies.floats(-1000.0, 1000.0))
    def check(steps, store_offset_s):
        clock = ManualClock()
        store_health = StoreHealth(clock)
        assert store_health.proof_age_s() == float("inf")
        shortest_s, newest_s = float("inf"), float("-inf")
        # Calls overlap: their answers come in another order than they were sent.
        start_s = clock.now()
        sent = [(start_s + at_s, work_s, back_s) for at_s, work_s, back_s in steps]
        for sent_s, work_s, back_s in sorted(sent, key=sum):
            made_s = sent_s + work_s
            clock._now_s = made_s + back_s
            true_at_s = store_health.record_response(sent_s, made_s + store_offset_s)
            shortest_s = min(shortest_s, work_s)
            earliest_s = made_s - shortest_s - MAX_DRIFT * (clock.now() - start_s)
            assert earliest_s - 1e-6 <= true_at_s <= made_s + 1e-6, (true_at_s, made_s)
            newest_s = max(newest_s, true_at_s)
            assert abs(store_health.proof_age_s() - (clock.now() - newest_s)) < 1e-6

    check()


@then("gateway store health: no answer counts as newer than it is, whenever a clock jumps")
def health_after_jumps(context):
    times = strategies.floats(0.0, 5.0)
    jumps = strategies.sampled_from((0.0, 0.0, 20.0, -20.0, 600.0))
    calls = strategies.lists(strategies.tuples(times, times, times, jumps), min_size=1)

    @for_all(calls)
    def check(steps):
        clock = ManualClock()
        store_health = StoreHealth(clock)
        offset_s = 7000.0
        for pause_s, work_s, back_s, jump_s in steps:
            clock._now_s += pause_s
            offset_s += jump_s
            sent_s = clock.now()
            made_s = sent_s + work_s
            clock._now_s = made_s + back_s
            true_at_s = store_health.record_response(sent_s, made_s + offset_s)
            if jump_s:
                assert abs(true_at_s - sent_s) < 1e-6 or abs(jump_s) < back_s + work_s
            assert true_at_s <= made_s + 1e-6, (true_at_s, made_s)

    check()
