"""Steps on the planned stop of a gateway."""

import asyncio
import contextlib
import os
import signal
import time

from behave import given, then, when
from gateway_metrics_steps import start
from gateway_process_world import ProcessWorld
from gateway_scripted_server import BODY
from gateway_world import Caller, ask, until

# isort: split
from indigoworks.forwarding.forward_codec import decode_forward_reply, encode_forward_request
from indigoworks.forwarding.forward_request import ForwardRequest

SLACK_S = 0.15
"""By which events are seen late on a busy machine."""

LAST_SHARE = 5 / 6
WAITING = 6
SLOTS = 2


@given("a gateway process with a grace of {grace_s:g} s has a request at its server")
def with_request(context, grace_s):
    async def build():
        world = ProcessWorld(stop_grace_s=grace_s)
        await world.add_server("s1", ["holds"])
        return world

    async def send():
        world = context.gateway_process
        caller = await Caller(world).open()
        context.gateway_asking = asyncio.ensure_future(caller.ask())
        await until(lambda: world.servers["s1"].requests)

    start(context, context.run_async(build()))
    context.run_async(send())


@when("the gateway process is told to stop and its server answers once no connection is taken")
def told_to_stop(context):
    world = context.gateway_process

    async def stop():
        os.kill(os.getpid(), signal.SIGTERM)
        await refused_connection(world)
        world.servers["s1"].go_on()

    context.run_async(stop())


async def refused_connection(world):
    """Return once the gateway takes no connection."""
    with contextlib.suppress(OSError):
        while True:
            _, writer = await asyncio.open_connection(world.address.host, world.address.port)
            writer.close()
            await asyncio.sleep(0.01)


@then("the gateway process answered the request whole and then ended")
def answered_and_ended(context):
    world = context.gateway_process

    async def receive():
        await world.running
        # The end of the process would cut what is still in progress.
        left = world.gateway._requests.front.in_progress.count
        return left, await context.gateway_asking

    left, answer = context.run_async(receive())
    assert left == 0, left
    assert (answer.status, answer.body) == (200, BODY), answer


@given("a gateway process with a grace of {grace_s:g} s and a server that is silent")
def with_silent_server(context, grace_s):
    async def build():
        world = ProcessWorld(stop_grace_s=grace_s)
        await world.add_server("s1", ["is silent"], slots=SLOTS)
        return world

    context.grace_s = grace_s
    start(context, context.run_async(build()))


@given("a request, {kind}, at the server of the gateway process")
def request_at_server(context, kind):
    world = context.gateway_process

    async def send():
        target = "/a/x" if kind == "safe" else "/unsafe/x"
        context.gateway_caller = await Caller(world).open()
        fields = {"target": target, "method": "GET" if kind == "safe" else "POST"}
        context.gateway_asking = asyncio.ensure_future(timed(context.gateway_caller.ask(**fields)))
        await until(lambda: world.servers["s1"].requests)

    context.run_async(send())


async def timed(asking):
    """Return an answer and when it came; None where the connection ended without one."""
    try:
        return await asking, time.monotonic()
    except (asyncio.IncompleteReadError, OSError):
        return None, time.monotonic()


@given("more requests at the gateway process than its server takes")
def more_than_taken(context):
    world = context.gateway_process

    async def send():
        context.gateway_askings = [
            asyncio.ensure_future(timed(ask(world))) for _ in range(SLOTS + WAITING)
        ]
        await until(lambda: world.servers["s1"].requests)
        await asyncio.sleep(0.2)

    context.run_async(send())


@given("a connection to the gateway process on which half of a request has arrived")
def half_of_request(context):
    async def send():
        context.late_caller = await Caller(context.gateway_process).open()
        context.late_caller.writer.write(b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\n")

    context.run_async(send())


@given("a forwarded request at the gateway process that {what}")
def forwarded(context, what):
    world = context.gateway_process

    async def send():
        server = world.gateway._requests.forward_server
        if what != "its server has":
            context.gateway_askings = [
                asyncio.ensure_future(timed(ask(world))) for _ in range(SLOTS + WAITING)
            ]
            await until(lambda: world.servers["s1"].requests)
            await asyncio.sleep(0.2)
        known = len(world.servers["s1"].requests)
        context.forwarded = asyncio.ensure_future(server.respond(forward_request()))
        if what == "its server has":
            await until(lambda: len(world.servers["s1"].requests) > known)

    context.run_async(send())


def forward_request():
    return encode_forward_request(
        ForwardRequest(
            request_id="forwarded-1",
            method="GET",
            host="shop.example",
            target="/a/x",
            headers=(),
            body=b"",
            wait_s=20.0,
            age_s=0.0,
            key=None,
            caller="127.0.0.1",
            service="shop",
            configuration_version=1,
            tried=(),
        )
    )


@when("the gateway process is told to stop")
def stopped(context):
    context.stopped_s = time.monotonic()
    os.kill(os.getpid(), signal.SIGTERM)
    context.run_async(asyncio.wait_for(context.gateway_process.running, 2 * context.grace_s))
    context.ended_s = time.monotonic()


@when("the gateway process is told to stop, and the rest arrives {late_s:g} s later")
def rest_arrives(context, late_s):
    async def run():
        context.known_requests = len(context.gateway_process.servers["s1"].requests)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(late_s)
        context.late_caller.writer.write(b"\r\n")
        sent_s = time.monotonic()
        answer, at_s = await timed(context.late_caller.receive())
        context.late_answer = answer, at_s - sent_s
        await context.gateway_process.running

    context.run_async(run())


@when("the gateway process is told to stop, and the caller leaves {late_s:g} s later")
def caller_leaves(context, late_s):
    async def run():
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(late_s)
        context.gateway_asking.cancel()
        context.gateway_caller.close()
        left_s = time.monotonic()
        await asyncio.wait_for(context.gateway_process.servers["s1"].gone.wait(), 3.0)
        context.gone_after_s = time.monotonic() - left_s
        await context.gateway_process.running

    context.run_async(run())


@then("the gateway process answered it with {status:d} in the last sixth of the grace, and in time")
def answered_last(context, status):
    answer, at_s = context.run_async(context.gateway_asking)
    assert answer is not None, "the connection ended without a response"
    after_s = at_s - context.stopped_s
    assert answer.status == status, answer
    assert LAST_SHARE * context.grace_s <= after_s < context.grace_s - 2 * SLACK_S, after_s


@then("the gateway process ended before its grace was over")
def ended_in_time(context):
    assert context.ended_s - context.stopped_s < context.grace_s


@then("the waiting requests were refused once the gateway process took no more connections")
def waiting_refused(context):
    async def collect():
        return await asyncio.gather(*context.gateway_askings)

    context.answers = context.run_async(collect())
    refused = [at_s for answer, at_s in context.answers if answer and answer.status == 503]
    known = len(context.gateway_process.servers["s1"].requests)
    assert len(refused) == SLOTS + WAITING - known, context.answers
    late = [at_s - context.stopped_s for at_s in refused]
    assert max(late) < 0.5 * context.grace_s, late


@then("each request at the gateway process got a response")
def all_answered(context):
    assert all(answer for answer, _ in context.answers), context.answers


@then("the gateway process refused it within {within_s:g} s and its server did not get it")
def refused_at_once(context, within_s):
    answer, after_s = context.late_answer
    assert answer is not None and answer.status == 503, answer
    assert answer.header("Retry-After") is not None
    assert after_s <= within_s, after_s
    assert len(context.gateway_process.servers["s1"].requests) == context.known_requests


@then("the peer of the gateway process got the outcome {outcome}")
def peer_told(context, outcome):
    reply = decode_forward_reply(context.run_async(context.forwarded))
    assert reply is not None and reply.outcome.name == outcome, reply


@then("the server's connection ended within {within_s:g} s")
def server_learnt(context, within_s):
    assert context.gone_after_s <= within_s, context.gone_after_s
