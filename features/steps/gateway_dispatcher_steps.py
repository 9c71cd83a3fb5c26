"""Steps on requests that gateways pass to the dispatchers of servers."""

import asyncio
from functools import partial

from behave import given, then, when
from dispatcher_world import SERVICE, SMALL, DispatcherWorld
from gateway_world import (
    LONG_S,
    make_configuration,
    make_rate_budget,
    make_record,
    make_route,
    until,
)

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.forwarding.forward_client import ForwardClient
from indigoworks.forwarding.forward_reply import ForwardOutcome
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.gateway.dispatcher_capacity import DispatcherCapacity
from indigoworks.gateway.dispatcher_load import DispatcherLoad
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.self_reported_load import SelfReportedLoad

MOMENT_S = 0.05
OK = 200
SERVER = "s1"


class StepClock:
    """A clock that a step sets ahead."""

    now_s = 100.0

    def now(self):
        return self.now_s


# ---- what a dispatcher counts ----


@given("a dispatcher of a server with {slots:d} slots, at which it has {count:d} requests")
def counting(context, slots, count):
    clock = context.dispatcher_clock = StepClock()
    context.others = PeerTable(clock)
    load = context.dispatcher_load = DispatcherLoad(context.others, lambda _: True, clock)
    stats = context.dispatcher_stats = ServerStats(load, clock)
    load.granted = stats.own_in_flight_at
    stats.on_server_load = load.record_server_load
    context.counted = make_record(SERVER, Address("h", 1), slots=slots)
    for _ in range(count):
        stats.start(context.counted)
    context.dispatcher_capacity = DispatcherCapacity(stats, make_rate_budget(clock), load)


@then("the server has room for {count:d} more")
def has_room(context, count):
    capacity = context.dispatcher_capacity
    found = 0
    while capacity.has_capacity(context.counted):
        capacity.reserve(context.counted)
        found += 1
    for _ in range(found):
        capacity.release_reservation(context.counted)
    assert found == count, found


def report_of_others(peers, clock, record, count, sequence):
    stats = ServerStats(PeerTable(clock), clock)
    for _ in range(count):
        stats.start(record)
    loads = stats.loads()
    report = PeerReport("other0", "b", sequence, 0, float("inf"), None, loads, (), 0)
    assert peers.record_report(report)


@when("reports of others tell of {count:d} request there")
def others_tell(context, count):
    report_of_others(context.others, context.dispatcher_clock, context.counted, count, 1)


@when("the server reports {running:d} running requests")
def server_reports(context, running):
    server_reports_both(context, running, 0)


@when("the server reports {running:d} running and {waiting:d} waiting request")
def server_reports_both(context, running, waiting):
    load = SelfReportedLoad(running, waiting, context.counted.slots)
    context.dispatcher_stats.record_server_load(SERVER, load)


@when("{duration_s:g} s pass at the dispatcher")
def time_passes(context, duration_s):
    context.dispatcher_clock.now_s += duration_s


# ---- real gateways ----


def start(context, slots, behaviours, size=17):
    async def run():
        context.dispatchers = DispatcherWorld(size)
        server = await context.dispatchers.add_server(SERVER, behaviours, slots)
        context.dispatchers.set_owner(SERVER, 1)
        return server

    context.scripted = context.run_async(run())


@given("gateways with a server of {slots:d} slot that {behaviours}")
def one_slot(context, slots, behaviours):
    start(context, slots, behaviours.split(", then "))


@given("gateways with a server of {slots:d} slots that {behaviours}")
def some_slots(context, slots, behaviours):
    start(context, slots, behaviours.split(", then "))


@given("16 gateways with a server of {slots:d} slots that {behaviours}")
def small_group(context, slots, behaviours):
    start(context, slots, behaviours.split(", then "), SMALL)


@given("the dispatcher hears of 1 request of others there")
def others_at_server(context):
    async def run():
        world = context.dispatchers
        gateway = world.gateways[world.dispatcher_of(SERVER)]
        record = gateway.platform.servers.get(SERVER)
        report_of_others(gateway.peers, LoopClock(), record, 1, 1)

    context.run_async(run())


@when("a caller sends a request to the dispatcher, and the others' request ends")
def waits_for_others(context):
    async def run():
        world = context.dispatchers
        name = world.dispatcher_of(SERVER)
        gateway = world.gateways[name]
        # A request is placed at the end of its aim in any case: that is later than a step may last.
        gateway.configure(aim_s=LONG_S, timeout_s=LONG_S)
        asking = world.start_asking(name)
        await until(lambda: sum(gateway.side.queue.waiting_by_service().values()) == 1)
        record = gateway.platform.servers.get(SERVER)
        report_of_others(gateway.peers, LoopClock(), record, 0, 2)
        return await asking

    context.received = context.run_async(run())


@then("the caller gets status {status:d}")
def status_is(context, status):
    assert context.received.status == status, context.received


@when("{count:d} callers of each gateway send a request")
def callers_of_each(context, count):
    async def run():
        world = context.dispatchers
        asking = [world.start_asking(name) for name in world.gateways for _ in range(count)]
        context.at_work = []
        for number in range(len(asking)):
            await until(partial(is_busy, context.scripted, min(2, len(asking) - number)))
            context.at_work.append(len(context.scripted.working))
            context.scripted.turns.release()
            await until(partial(is_done, asking, number + 1))
        context.received_all = await asyncio.gather(*asking)

    context.run_async(run())


@then("the server has {slots:d} requests at a time until all {count:d} are answered")
def uses_slots(context, slots, count):
    assert [each.status for each in context.received_all] == [OK] * count, context.received_all
    assert context.scripted.most_at_work == slots, context.scripted.most_at_work
    assert context.at_work[:-1] == [slots] * (count - 1), context.at_work


def is_busy(server, count):
    return len(server.working) == count


def is_done(asking, count):
    return sum(each.done() for each in asking) == count


def assert_sent_by(context, sender):
    opened = {
        name: gateway.side.sender.connections_opened
        for name, gateway in context.dispatchers.gateways.items()
    }
    assert opened[sender] == context.scripted.connections > 0, (sender, opened)


@then("all its connections come from the dispatcher")
def sent_by_dispatcher(context):
    async def run():
        assert_sent_by(context, context.dispatchers.dispatcher_of(SERVER))

    context.run_async(run())


@then("all its connections come from the weak gateway")
def sent_by_weak(context):
    assert_sent_by(context, "weak")


@when("requests of priority 2 and then of priority 0 wait at the dispatcher for different gateways")
def by_priority(context):
    async def run():
        world = context.dispatchers
        routes = [make_route(f"r{each}", f"/{each}/", priority=each) for each in (0, 2)]
        for gateway in world.gateways.values():
            gateway.platform.configurations.put_in_force(
                make_configuration(9, *routes, services=gateway.services)
            )
        name = world.dispatcher_of(SERVER)
        queue = world.gateways[name].side.queue
        asking = [world.start_asking(name, target="/2/first")]
        await until(lambda: len(context.scripted.working) == 1)
        for number, (gateway, priority) in enumerate((("weak", 2), (world.other_than(name), 0)), 1):
            asking.append(world.start_asking(gateway, target=f"/{priority}/waits"))
            await until(lambda: sum(queue.waiting_by_service().values()) == number)  # noqa: B023
        context.scripted.go_on()
        await asyncio.gather(*asking)

    context.run_async(run())


@then("the server gets that of priority 0 first")
def urgent_first(context):
    targets = [each.target for each in context.scripted.requests]
    assert targets == ["/2/first", "/0/waits", "/2/waits"], targets


@when("{count:d} callers of the weak gateway send a request")
def callers_of_weak(context, count):
    async def run():
        for _ in range(count):
            assert (await context.dispatchers.ask()).status == OK

    context.run_async(run())
    context.request_count = count


@then("only the weak gateway has sampled keys and counted requests for the retry budget")
def counted_once(context):
    async def run():
        counted = {}
        for name, gateway in context.dispatchers.gateways.items():
            gateway.side.retry_budget.set_budget(1.0, 10.0, 0.0)
            counted[name] = (
                bool(gateway.side.sampler.drain()),
                gateway.side.retry_budget.allowed(SERVICE) > 0,
            )
        assert counted == {"weak": (True, True), "d1": (False, False), "d2": (False, False)}, (
            counted
        )

    context.run_async(run())


@when("a peer passes a request to a gateway that is not the dispatcher")
def passed_to_other(context):
    async def run():
        world = context.dispatchers
        context.other = world.other_than(world.dispatcher_of(SERVER))
        request = ForwardRequest(
            "r", "GET", "shop.example", "/a/x", (), b"", 2.0, 7, 0.0, "c", SERVICE, 1, (), True
        )
        client = ForwardClient(LoopClock())
        context.reply = await client.send(world.addresses[context.other], request, 3.0)

    context.run_async(run())


@then("that gateway sends it itself")
def sent_itself(context):
    assert context.reply.outcome is ForwardOutcome.ANSWERED, context.reply
    assert_sent_by(context, context.other)
    assert not context.dispatchers.dispatched(context.other)
