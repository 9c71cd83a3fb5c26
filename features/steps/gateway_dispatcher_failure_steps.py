"""Steps on failures of dispatchers, and of the connections to them."""

import asyncio
import contextlib
import time

from behave import given, then, when
from dispatcher_world import LAST_KEY, SERVICE
from gateway_scripted_server import NAMES
from gateway_world import HOST, until

from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.forwarding.forward_codec import encode_forward_reply
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.forwarding.forward_server import MAX_REQUESTS
from indigoworks.gateway.request_dispatching import CHECK_INTERVAL_S

SERVER = "s1"
LOSS_STATUSES = (502, 504)
WEAK = "weak"
LONG_S = 60.0
LATE_S = 0.02
SILENT_S = 1.5
OTHER_SERVERS = [f"t{number}" for number in range(40)]


def waiting(gateway):
    return sum(gateway.side.queue.waiting_by_service().values())


def configure_all(world, **fields):
    for gateway in world.gateways.values():
        gateway.configure(**fields)


# ---- ways in which a dispatcher fails ----


def stop(world, name):
    world.gateways[name].side.forward_server.is_stopping = True


def fill(world, name):
    world.gateways[name].side.forward_server._tasks.update(range(MAX_REQUESTS + 1))


def outdate(world, name):
    for other, gateway in world.gateways.items():
        if other != name:
            gateway.configure()


def lose_server(world, name):
    world.gateways[name].side.server_stats.down.set_down(SERVER, True)


def refuse(world, name):
    world.listeners[name].stop()


FAILURES = {
    "is stopping": stop,
    "has its most requests": fill,
    "has an older configuration": outdate,
    "does not reach the server": lose_server,
    "refuses connections": refuse,
}


def fail(context, what):
    async def run():
        world = context.dispatchers
        context.dispatcher = world.dispatcher_of(SERVER)
        FAILURES[what](world, context.dispatcher)

    context.run_async(run())


for _what in FAILURES:
    given(f"the dispatcher {_what}")(lambda context, what=_what: fail(context, what))


async def replace_dispatcher(context, serve):
    """Let another program listen at the dispatcher's port."""
    world = context.dispatchers
    context.dispatcher = world.dispatcher_of(SERVER)
    world.listeners[context.dispatcher].stop()
    port = world.addresses[context.dispatcher].address.port
    context.replacement = await asyncio.start_server(serve, HOST, port)


async def read_whole(reader, writer):
    head = await reader.readuntil(b"\r\n\r\n")
    if b"100-continue" in head:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
    await reader.readexactly(length)
    return head


@given("the dispatcher stands still")
def stands_still_there(context):
    async def serve(reader, writer):
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()

    context.run_async(replace_dispatcher(context, serve))


@given("the dispatcher breaks off once it has read a request")
def breaks_off(context):
    async def serve(reader, writer):
        await read_whole(reader, writer)
        writer.transport.abort()

    context.run_async(replace_dispatcher(context, serve))


@given("the dispatcher keeps requests and is heard no more")
def keeps(context):
    async def serve(reader, writer):
        await read_whole(reader, writer)
        context.dispatchers.silent.add(context.dispatcher)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()

    async def run():
        configure_all(context.dispatchers, timeout_s=2.5)
        await replace_dispatcher(context, serve)

    context.run_async(run())


@given("the dispatcher is heard no more and then answers a request itself")
def answers_late(context):
    headers = ((NAMES.request_id, "try-1"),)
    reply = encode_forward_reply(ForwardReply(ForwardOutcome.ANSWERED, 200, headers))

    async def serve(reader, writer):
        head = await read_whole(reader, writer)
        world = context.dispatchers
        world.silent.add(context.dispatcher)
        selector = world.gateways[WEAK].side.dispatchers.selector
        await until(lambda: selector.is_silent(context.dispatcher))
        # A check that a request which may be repeated has caused.
        world.gateways[WEAK].side._dispatching._schedule_check()
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        number = head.lower().partition(b"forward-id: ")[2].partition(b"\r")[0]
        lines = (b"HTTP/1.1 200 OK", b"Forward-Id: " + number, b"Content-Length: %d" % len(reply))
        writer.write(b"\r\n".join((*lines, b"", b"")) + reply)

    context.run_async(replace_dispatcher(context, serve))


# ---- requests ----


@when("a caller of the weak gateway sends {kind} request")
def one_request(context, kind):
    async def run():
        world = context.dispatchers
        weak = world.gateways[WEAK]
        is_repeatable = not kind.startswith("an unsafe")
        for gateway in world.gateways.values():
            known = gateway.platform.configurations.current()
            gateway.route_fields["is_repeatable"] = is_repeatable
            if known.version == 1 or gateway is weak:
                gateway.configure()
        if "without a budget" in kind:
            weak.side.retry_budget.set_budget(0.0, 10.0, 0.0)
        return await world.ask()

    context.received = context.run_async(run())


@then(
    "the server got {count:d} request, from the weak gateway, which counts {number:d} as {result}"
)
def sent_by_weak(context, count, number, result):
    assert len(context.scripted.requests) == count, context.scripted.requests
    world = context.dispatchers
    assert world.gateways[WEAK].side.sender.connections_opened == count
    assert world.dispatched() == {result: number}, world.dispatched()


@then("the weak gateway selects the other candidate for this server, and {others} for others")
def selects(context, others):
    async def run():
        world = context.dispatchers
        other = world.other_than(context.dispatcher)
        assert world.dispatcher_of(SERVER) == other
        selected = {world.dispatcher_of(each) for each in OTHER_SERVERS}
        expected = {other} if others == "the other candidate" else {"d1", "d2"}
        assert selected == expected, selected

    context.run_async(run())


@then("the caller gets {end}, and the server got {count:d} request")
def ends_with(context, end, count):
    status = context.received.status
    assert status in LOSS_STATUSES if end == "a loss" else f"status {status}" == end, status
    assert len(context.scripted.requests) == count, context.scripted.requests


@then("the server got {count:d} request in all")
def got_in_all(context, count):
    assert len(context.scripted.requests) == count, context.scripted.requests


@when("the weak gateway stands still for {duration_s:g} s with a safe request at the dispatcher")
def stands_still(context, duration_s):
    async def run():
        world = context.dispatchers
        configure_all(world, timeout_s=LONG_S, aim_s=LONG_S)
        asking = world.start_asking()
        await until(lambda: len(context.scripted.working) == 1)
        world.hearing.cancel()
        world.gateways[WEAK].clock.shift_s += SILENT_S
        # All gateways of this loop stand still, and datagrams are read a moment later.
        time.sleep(duration_s)  # noqa: ASYNC251
        await asyncio.sleep(LATE_S)
        world.hear_all()
        world.keep_hearing()
        await asyncio.sleep(duration_s)
        context.scripted.go_on()
        return await asking

    context.received = context.run_async(run())


@when("the keys move to another server while a request of the weak gateway waits")
def keys_move(context):
    async def run():
        world = context.dispatchers
        context.dispatcher = world.dispatcher_of(SERVER)
        world.start_asking(context.dispatcher)
        await until(lambda: len(context.scripted.working) == 1)
        asking = world.start_asking()
        gateway = world.gateways[context.dispatcher]
        await until(lambda: waiting(gateway) == 1)
        context.new_owner = await world.add_server("s2", ["answers"], 1)
        world.set_owner("s2", 2)
        return await asking

    context.received = context.run_async(run())


@then("the dispatcher has sent that request to the new owner")
def sent_to_new_owner(context):
    assert context.received.status == 200, context.received
    assert len(context.new_owner.requests) == 1
    opened = {
        name: each.side.sender.connections_opened
        for name, each in context.dispatchers.gateways.items()
    }
    assert opened.pop(context.dispatcher) == 2 and not any(opened.values()), opened


@when("the owner is granted its keys while a request of the weak gateway waits")
def owner_granted(context):
    def set_pending(world, pending):
        for gateway in world.gateways.values():
            gateway.tables.apply_beat(LeaderBeat(1, 0.0, 1.0, pending))
            gateway.side.queue.capacity_changed()

    async def run():
        world = context.dispatchers
        set_pending(world, (PendingRange(SERVICE, 0, LAST_KEY, 1),))
        asking = world.start_asking()
        await until(lambda: waiting(world.gateways[WEAK]) == 1)
        set_pending(world, ())
        return await asking

    context.received = context.run_async(run())


@when("the dispatcher has 2 requests there and the weak gateway passes one to the other candidate")
def two_dispatchers(context):
    async def run():
        world = context.dispatchers
        configure_all(world, timeout_s=LONG_S, aim_s=LONG_S)
        name = world.dispatcher_of(SERVER)
        other = world.gateways[world.other_than(name)]
        asking = [world.start_asking(name, target=f"/a/{each}") for each in range(2)]
        await until(lambda: len(context.scripted.working) == 2)
        await until(lambda: other.peers.in_flight(SERVER) == 2)
        world.gateways[WEAK].side.dispatchers.selector.exclude(name)
        asking.append(world.start_asking(target="/a/third"))
        await until(lambda: other.side.forward_server.count == 1)
        await until(lambda: waiting(other) == 1 or len(context.scripted.working) > 2)
        context.scripted.go_on()
        assert [each.status for each in await asyncio.gather(*asking)] == [200] * 3

    context.run_async(run())


@then("the server has no more than {slots:d} requests at a time")
def at_most(context, slots):
    assert context.scripted.most_at_work == slots, context.scripted.most_at_work
