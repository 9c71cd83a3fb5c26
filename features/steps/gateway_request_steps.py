"""Steps on the path of a request through a gateway."""

import asyncio
from itertools import pairwise

from behave import given, then, when
from gateway_scripted_server import BODY, NAMES
from gateway_world import Caller, GatewayWorld, ask, until

HOP = ("connection", "x-hop", "keep-alive", "te", "proxy-authorization", "transfer-encoding")


def make_world(context, is_configured=True, **settings):
    async def run():
        context.gateway = GatewayWorld(**settings)
        context.gateway.side.front.start()
        if is_configured:
            context.gateway.configure()

    context.run_async(run())
    context.gateway_answers = []


@given("a gateway")
def a_gateway(context):
    make_world(context)


def add(context, server_id, behaviours, **fields):
    server = context.run_async(context.gateway.add_server(server_id, behaviours, **fields))
    return server


@given('gateway server "{server_id}" that {behaviours}')
def gateway_server(context, server_id, behaviours):
    is_early = behaviours == "answers before it reads the body"
    names = ["answers"] if is_early else behaviours.split(", then ")
    add(context, server_id, names).reads_body_late = is_early


@given("the gateway route is not repeatable")
def not_repeatable(context):
    context.gateway.configure(is_repeatable=False)


@given("the gateway route's time-out is {timeout_s:g} s")
def route_timeout(context, timeout_s):
    context.gateway.configure(timeout_s=timeout_s)


@when('a gateway caller sends "{method}" "{target}" with a body of {size:d} bytes')
def send_body(context, method, target, size):
    context.gateway_body = context.random.randbytes(size)
    headers = (
        "Connection: X-Hop",
        "X-Hop: 1",
        "Keep-Alive: timeout=5",
        "TE: trailers",
        "Proxy-Authorization: secret",
        "X-End: 1",
        "X-End: 2",
        f"{NAMES.key}: 77",
    )
    context.gateway_sent = (method, target)
    work = ask(
        context.gateway, method=method, target=target, headers=headers, body=context.gateway_body
    )
    context.gateway_answers.append(context.run_async(work))


@when("a gateway caller sends a body in chunks")
def send_chunks(context):
    async def run():
        caller = await Caller(context.gateway).open()
        caller.send("POST", headers=("Transfer-Encoding: chunked",))
        caller.writer.write(b"3\r\nabc\r\n")
        await asyncio.sleep(0.01)
        caller.writer.write(b"5\r\ndefgh\r\n0\r\n\r\n")
        return await caller.receive()

    context.gateway_answers.append(context.run_async(run()))


@then('gateway server "{server_id}" got the body of the chunks under a length')
def got_chunks(context, server_id):
    (request,) = context.gateway.servers[server_id].requests
    assert request.body == b"abcdefgh"
    assert request.header("Content-Length") == "8"
    assert request.header("Transfer-Encoding") is None


@when("a gateway caller sends {count:d} request one after the other")
@when("a gateway caller sends {count:d} requests one after the other")
def send_some(context, count):
    async def run():
        caller = await Caller(context.gateway).open()
        return [await caller.ask(target=f"/a/{number}") for number in range(count)]

    context.gateway_answers.extend(context.run_async(run()))


@when("a gateway caller that waits {wait_ms:d} ms sends a request")
def send_with_deadline(context, wait_ms):
    work = ask(context.gateway, headers=(f"{NAMES.deadline_ms}: {wait_ms}",))
    context.gateway_answers.append(context.run_async(work))


def assert_whole(answer):
    assert (answer.status, answer.body) == (200, BODY), answer
    assert answer.header(NAMES.signature) == "signed", answer


@then("the gateway answer is the server's, whole")
@then("every gateway answer is the server's, whole")
def answers_whole(context):
    assert context.gateway_answers
    for answer in context.gateway_answers:
        assert_whole(answer)


@then("the gateway answers have the statuses {statuses}")
def answers_statuses(context, statuses):
    got = [each.status for each in context.gateway_answers]
    assert got == [int(each) for each in statuses.split(", ")], context.gateway_answers


@then("no gateway answer carries the server's signature")
def unsigned(context):
    for each in context.gateway_answers:
        assert each.header(NAMES.signature) is None and BODY not in each.body, each


@then('gateway server "{server_id}" got all of the request and no hop header')
def got_unchanged(context, server_id):
    (request,) = context.gateway.servers[server_id].requests
    assert (request.method, request.target) == context.gateway_sent
    assert request.body == context.gateway_body
    assert request.header(NAMES.request_id) == context.gateway_answers[0].header(NAMES.request_id)
    assert request.header(NAMES.server_id) == server_id
    assert request.header(NAMES.key) == "77"
    assert request.header("Host") == "shop.example"
    names = [name.lower() for name, _ in request.headers]
    assert names.count("x-end") == 2, names
    assert not set(names) & set(HOP), names


@then("the first gateway answer has both values of the travelling header and no hop header")
def back_headers(context):
    names = [name.lower() for name, _ in context.gateway_answers[0].headers]
    assert names.count("x-end") == 2, names
    assert not {"x-hop", "keep-alive", "connection"} & set(names), names


@then("the gateway servers got {count:d} request")
@then("the gateway servers got {count:d} requests")
def servers_got(context, count):
    assert len(context.gateway.requests()) == count, context.gateway.requests()


@then('gateway server "{server_id}" got {count:d} requests on {connections:d} connection')
@then('gateway server "{server_id}" got {count:d} requests on {connections:d} connections')
def server_got_on(context, server_id, count, connections):
    requests = context.gateway.servers[server_id].requests
    assert len(requests) == count, requests
    assert len({each.connection for each in requests}) == connections, requests


def deadlines(context):
    requests = context.gateway.requests()
    return sorted((int(each.header(NAMES.deadline_ms)) for each in requests), reverse=True)


@then(
    "the gateway servers were handed deadlines, each at least {step_ms:d} ms shorter than the last"
)
def deadlines_shrink(context, step_ms):
    handed = deadlines(context)
    assert len(handed) == 2, handed
    assert all(a - b >= step_ms for a, b in pairwise(handed)), handed


@then("the first gateway deadline is at most {most_ms:d} ms")
def first_deadline(context, most_ms):
    assert 0 < deadlines(context)[0] <= most_ms, deadlines(context)


@then("the first gateway deadline is at most the route's time-out")
def first_deadline_route(context):
    route = context.gateway.platform.configurations.current().routes[0]
    first_deadline(context, route.timeout_s * 1000)


@then("the first gateway connection carried nothing but that body")
def carried_body_only(context):
    (server,) = context.gateway.servers.values()
    context.run_async(server.gone.wait())
    assert [each.connection for each in server.requests] == [1, 2], server.requests
    assert context.gateway_body.startswith(server.early_body), len(server.early_body)
    assert len(server.early_body) < len(context.gateway_body)


@when('a gateway caller leaves while gateway server "{server_id}" works on its request')
def caller_leaves(context, server_id):
    async def run():
        caller = await Caller(context.gateway).open()
        caller.send()
        await until(lambda: context.gateway.servers[server_id].requests)
        caller.close()

    context.run_async(run())


@then('gateway server "{server_id}" sees its connection end')
def sees_end(context, server_id):
    context.run_async(context.gateway.servers[server_id].gone.wait())


@then("nothing is in progress at the gateway")
def nothing_in_progress(context):
    context.run_async(context.gateway.side.front.in_progress.wait_until_idle())
