"""Steps on callers that come back, and on the order in which requests go."""

import asyncio

from behave import given, then, when
from gateway_request_steps import add, make_world
from gateway_scripted_server import BEHAVIOURS, NAMES
from gateway_world import ask, until

from indigoworks.gateway.first_attempts import FirstAttempts
from indigoworks_lab.simulation.core.manual_clock import ManualClock

ROUTE = "r"


@given("a gateway that has seen callers of a route that wait {wait_s:g} s")
def step_seen(context, wait_s):
    context.first_clock = ManualClock()
    context.first_tries = FirstAttempts(context.first_clock)
    assert context.first_tries.age_s(ROUTE, wait_s) == 0


@when("all callers of that route wait {wait_s:g} s for {duration_s:d} s")
def step_wait_less(context, wait_s, duration_s):
    async def pass_time():
        for _ in range(duration_s):
            context.first_tries.age_s(ROUTE, wait_s)
            await context.first_clock.advance(1.0)

    context.run_async(pass_time())


@then("a caller of that route that still waits {wait_s:g} s tried first {age_s:g} s ago")
def step_age(context, wait_s, age_s):
    assert abs(context.first_tries.age_s(ROUTE, wait_s) - age_s) < 1e-9


@then("a caller of that route that waits {wait_s:g} s tries for the first time")
def step_first(context, wait_s):
    assert context.first_tries.age_s(ROUTE, wait_s) == 0


@then("a caller of that route that does not say how long it waits tries for the first time")
def step_unsaid(context):
    assert context.first_tries.age_s(ROUTE, None) == 0


@given("a gateway with an aim of {aim_ms:d} ms")
def step_gateway(context, aim_ms):
    make_world(context)
    context.gateway.configure(aim_s=aim_ms / 1000, timeout_s=10.0, is_repeatable=False)


@given('gateway server "{name}" of {slots:d} slot that answers when it is told to')
def step_server(context, name, slots):
    context.gateway_gate = asyncio.Event()

    async def answer(server, request, writer):
        await context.gateway_gate.wait()
        return await BEHAVIOURS["answers"](server, request, writer)

    add(context, name, ["answers"], slots=slots).behaviours = [answer]


@when("gateway callers that wait {wait_ms:d} ms keep that server busy")
def step_busy(context, wait_ms):
    async def fill():
        context.gateway_busy = [
            asyncio.ensure_future(asked(context.gateway, wait_ms)) for _ in range(2)
        ]
        await until(lambda: len(context.gateway.requests()) == 2)

    context.run_async(fill())


def asked(world, wait_ms):
    return ask(world, headers=[f"{NAMES.deadline_ms}: {wait_ms}"], method="POST", body=b"x")


@when("one that still waits {late_ms:d} ms and then one that waits {wait_ms:d} ms ask")
def step_ask(context, late_ms, wait_ms):
    async def run():
        world = context.gateway
        waiting = world.side.queue.waiting_by_service
        tasks = []
        for ms in (late_ms, wait_ms):
            tasks.append(asyncio.ensure_future(asked(world, ms)))
            await until(lambda: sum(waiting().values()) == len(tasks))
        context.gateway_gate.set()
        await asyncio.gather(*tasks, *context.gateway_busy)
        context.first_order = [each.header(NAMES.deadline_ms) for each in world.requests()[2:]]

    context.run_async(run())


@then("the caller that waits {wait_ms:d} ms was served first")
def step_served_first(context, wait_ms):
    left_ms = [int(each) for each in context.first_order]
    assert left_ms[0] > left_ms[1], left_ms
