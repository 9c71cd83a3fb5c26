"""Steps on connections that rest."""

import asyncio
import time

from behave import given, then, when
from gateway_request_steps import make_world
from gateway_world import Caller, make_configuration, make_route, make_service

from indigoworks.routes.caller_limits import CallerLimits

HEADER_TIMEOUT_S = 0.1
LONG_REST_S = 60.0
TIDY_S = 0.05


@given("a gateway whose callers may rest for {idle_s:g} s")
def with_limit(context, idle_s):
    make_world(context, is_configured=False)
    context.rest_s = idle_s
    set_limit(context, idle_s)

    async def tidy():
        while True:
            await asyncio.sleep(TIDY_S)
            context.gateway.side.drop_expired()

    async def begin():
        context.tidying = asyncio.ensure_future(tidy())

    context.run_async(begin())


def set_limit(context, idle_s, **fields):
    limits = CallerLimits(header_timeout_s=HEADER_TIMEOUT_S, idle_timeout_s=idle_s, **fields)
    configurations = context.gateway.platform.configurations
    known = configurations.current()
    version = 1 if known is None else known.version + 1
    configurations.put_in_force(make_configuration(version, make_route(), limits=limits))


async def ask_first(context):
    context.rester = await Caller(context.gateway).open()
    assert (await context.rester.ask()).status == 200
    context.rests_from_s = time.monotonic()


@when("a gateway caller asks, and its next request is there when its rest ends in a busy gateway")
def busy(context):
    async def run():
        await ask_first(context)
        await asyncio.sleep(context.rest_s / 2)
        # The gateway shares this loop: neither the request nor the end of the rest is seen before
        # both are there, and it looks for resting connections first.
        context.rester.send()
        time.sleep(context.rest_s)  # noqa: ASYNC251
        context.gateway.side.drop_expired()

    context.run_async(run())


@then("the resting gateway caller's request is answered")
def answered(context):
    assert context.run_async(context.rester.receive()).status == 200


@when("a gateway caller asks, and the limit becomes {idle_s:g} s while it rests")
def change_limit(context, idle_s):
    context.run_async(ask_first(context))
    set_limit(context, idle_s)


@when("the gateway caller rests for {rest_s:g} s in all")
def rest(context, rest_s):
    left_s = context.rests_from_s + rest_s - time.monotonic()
    context.run_async(asyncio.sleep(max(0.0, left_s)))


@then("the resting gateway caller's next request is answered")
def next_answered(context):
    assert context.run_async(context.rester.ask()).status == 200


@when("a gateway caller asks, and bodies may grow from {old:d} to {new:d} bytes while it rests")
def grow_bodies(context, old, new):
    set_limit(context, LONG_REST_S, max_body_bytes=old)
    context.run_async(ask_first(context))
    set_limit(context, LONG_REST_S, max_body_bytes=new)


@then("the resting gateway caller's request with a body of {size:d} bytes is answered")
def body_answered(context, size):
    answer = context.run_async(context.rester.ask(method="POST", body=b"x" * size))
    assert answer.status == 200, answer


@then("the resting gateway caller's request with a body of {size:d} bytes is not taken")
def body_not_taken(context, size):
    async def send():
        context.rester.send(method="POST", body=b"x" * size)
        return await context.rester.receive()

    assert context.run_async(send()).status == 400


@when(
    "a gateway caller asks, bodies may have {most:d} bytes, and a peer has a newer configuration "
    "in force"
)
def newer_elsewhere(context, most):
    set_limit(context, LONG_REST_S, max_body_bytes=most)
    configurations = context.gateway.platform.configurations

    async def hear():
        newer = configurations.current().version + 1
        configurations.record_newer_version(newer, context.gateway.clock.now())
        await ask_first(context)

    context.run_async(hear())


@when("a gateway caller asks, and headers may have {most:d} bytes")
def set_headers(context, most):
    set_limit(context, LONG_REST_S, max_header_bytes=most)
    context.run_async(ask_first(context))


@when("a gateway caller asks, and headers may grow from {old:d} to {new:d} bytes while it rests")
def grow_headers(context, old, new):
    set_headers(context, old)
    set_limit(context, LONG_REST_S, max_header_bytes=new)


@when("a gateway caller asks, and its service gets keys")
def gets_keys(context):
    context.run_async(ask_first(context))
    services = (make_service(is_keyed=True),)
    configuration = make_configuration(9, make_route(), services=services)
    context.gateway.platform.configurations.put_in_force(configuration)


@then("the resting gateway caller's request with a header of over {size:d} bytes is {what}")
def header_judged(context, size, what):
    context.rester.send(headers=(f"X-Filler: {'x' * size}",))
    answer = context.run_async(context.rester.receive())
    assert answer.status == {"told to come back": 503, "denied": 431, "answered": 200}[what]


@then("the resting gateway caller's next request is told to come back")
def told_to_come_back(context):
    answer = context.run_async(context.rester.ask())
    assert (answer.status, answer.header("Retry-After")) == (503, "0.300"), answer


@then("the resting gateway caller's request with a body of {size:d} bytes is not denied")
def body_not_denied(context, size):
    async def send():
        context.rester.send(method="POST", body=b"x" * size)
        return await context.rester.receive()

    answer = context.run_async(send())
    assert answer.status in (200, 503), answer


@when("a gateway caller asks once and rests")
def asks_once(context):
    context.run_async(ask_first(context))


@when("a gateway caller asks once and then sends half a header")
def half_header(context):
    context.run_async(ask_first(context))
    context.rester.writer.write(b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\n")


@then("the gateway closes the resting caller's connection")
def closed(context):
    assert context.run_async(context.rester.reader.read()) == b""
