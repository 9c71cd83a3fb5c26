"""Steps on room at servers and on the stop of a gateway."""

import asyncio

from behave import given, then, when
from gateway_request_steps import add, assert_whole
from gateway_scripted_server import BODY
from gateway_world import (
    LONG_S,
    Caller,
    make_configuration,
    make_record,
    make_route,
    until,
)

from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.capacity_tracker import in_flight_limit
from indigoworks.gateway.server_stats import ServerStats


@given("a gateway server with {slots:d} slot that {behaviours}")
def small_server(context, slots, behaviours):
    context.gateway_server = add(context, "small", behaviours.split(", then "), slots=slots)
    # Longer than a route of this scenario allows.
    context.gateway_server.slow_s = 10 * LONG_S
    record = context.gateway.platform.servers.get("small")
    context.gateway_limit = in_flight_limit(record)


@given('gateway server "{server_id}" drains')
def drains(context, server_id):
    known = context.gateway.platform.servers.get(server_id)
    record = make_record(server_id, known.address, version=2, is_draining=True)
    context.run_async(context.gateway.put_server(record))


@when("another gateway reports the server as full")
def reported_full(context):
    record = context.gateway.platform.servers.get("small")

    async def run():
        board = ServerStats(PeerTable(LoopClock()), LoopClock())
        for _ in range(context.gateway_limit):
            board.start(record)
        report = PeerReport("n2", "b", 1, 0, float("inf"), None, board.loads(), (), 0)
        assert context.gateway.peers.record_report(report)

    context.run_async(run())


@given("gateway routes of priority 0 and 2")
def priorities(context):
    routes = [make_route(f"r{each}", f"/{each}/", priority=each) for each in (0, 2)]
    context.gateway.platform.configurations.put_in_force(make_configuration(9, *routes))
    context.gateway_target = "/2/fill"


@then("the last gateway answer says when to come back")
def last_come_back(context):
    answer = context.gateway_answers[-1]
    assert float(answer.header("Retry-After")) > 0, answer


def start_callers(context, targets):
    async def one(target):
        caller = await Caller(context.gateway).open()
        return await caller.ask(target=target)

    async def run():
        return [asyncio.ensure_future(one(target)) for target in targets]

    return context.run_async(run())


@when("{count:d} gateway callers send a request each")
def many_callers(context, count):
    context.gateway_callers = start_callers(context, [f"/a/{each}" for each in range(count)])


@when("gateway callers fill the server")
def fill(context):
    target = getattr(context, "gateway_target", "/a/fill")
    context.gateway_callers = start_callers(context, [target] * context.gateway_limit)
    context.run_async(until(lambda: len(context.gateway_server.working) == context.gateway_limit))


@when("a gateway caller of priority 2 and then one of priority 0 wait")
def two_wait(context):
    queue = context.gateway.side.queue
    for count, target in enumerate(("/2/x", "/0/x"), start=1):
        context.gateway_callers += start_callers(context, [target])
        context.run_async(
            until(lambda count=count: sum(queue.waiting_by_service().values()) == count)
        )


@then("the gateway server got the request of priority 0 before that of priority 2")
def urgent_first(context):
    context.run_async(_all(context.gateway_callers))
    targets = [each.target for each in context.gateway_server.requests]
    assert targets[-2:] == ["/0/x", "/2/x"], targets


@then("the gateway server works on its limit of requests and the others wait")
def others_wait(context):
    limit = context.gateway_limit
    left = sum(not each.done() for each in context.gateway_callers)
    server, queue = context.gateway_server, context.gateway.side.queue

    async def run():
        await until(lambda: len(server.working) >= limit)
        await until(lambda: len(server.working) + sum(queue.waiting_by_service().values()) == left)

    context.run_async(run())
    assert len(server.working) == limit, (len(server.working), limit)


@when("the gateway server answers one request")
def answers_one(context):
    async def run():
        context.gateway_server.go_on(1)
        await until(lambda: any(each.done() for each in context.gateway_callers))

    context.run_async(run())


@when("the gateway server goes on")
def goes_on(context):
    context.gateway_server.go_on()


async def _all(tasks):
    return await asyncio.gather(*tasks)


@then("all {count:d} gateway callers got the server's answer")
def all_answered(context, count):
    answers = context.run_async(_all(context.gateway_callers))
    assert len(answers) == count
    for each in answers:
        assert_whole(each)


@then("the gateway server never had more than its limit")
def within_limit(context):
    most = context.gateway_server.most_at_work
    assert most == context.gateway_limit, (most, context.gateway_limit)


@when("the gateway stops with a connection at rest, a request at work and one half sent")
def stop(context):
    gateway = context.gateway
    front = gateway.side.front

    async def run():
        resting = await Caller(gateway).open()
        assert_whole(await resting.ask())
        working = await Caller(gateway).open()
        working.send()
        server = gateway.servers["a"]
        await until(lambda: server.working and len(server.requests) == 2)
        begun = await Caller(gateway).open()
        begun.writer.write(b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\n")
        await asyncio.sleep(0.05)
        front.is_stopping = True
        front.stop_listening()
        finishing = asyncio.ensure_future(front.finish(30.0))
        context.gateway_rest = await resting.reader.read(-1)
        assert not finishing.done()
        server.go_on()
        context.gateway_answers.append(await working.receive())
        begun.writer.write(b"\r\n")
        context.gateway_answers.append(await begun.receive())
        context.gateway_rest_of_work = await working.reader.read(-1)
        await finishing

    context.run_async(run())


@then("the gateway connection at rest is closed")
def rest_closed(context):
    assert context.gateway_rest == b"", context.gateway_rest


@then("the gateway port is closed")
def port_closed(context):
    try:
        context.run_async(Caller(context.gateway).open())
    except ConnectionRefusedError:
        return
    raise AssertionError("the port still accepts connections")


@then('the others get their whole answers with "Connection: close"')
def work_answered(context):
    assert len(context.gateway_answers) == 2
    for answer in context.gateway_answers:
        assert (answer.status, answer.body) == (200, BODY), answer
        assert answer.header("Connection") == "close", answer
    assert context.gateway_rest_of_work == b""
