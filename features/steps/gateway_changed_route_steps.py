"""Steps on requests under way while the configuration changes."""

import asyncio

from behave import given, then, when
from gateway_world import (
    Caller,
    WeightedService,
    make_configuration,
    make_route,
    make_service,
    until,
)

from indigoworks.gateway.capacity_tracker import in_flight_limit


def counted_requests(world):
    """Return the requests for the service that the budget of repeats has counted."""
    return len(world.side.retry_budget._requests["shop"])


def put_in_force(world, *services):
    """Put a newer configuration in force; without services the route is gone."""
    known = world.platform.configurations.current()
    routes = (make_route(services=services),) if services else ()
    # As its reader does, each configuration has service objects of its own.
    known_services = (make_service(), make_service("other"))
    newer = make_configuration(known.version + 1, *routes, services=known_services)
    world.platform.configurations.put_in_force(newer)


@given('a gateway server "{server_id}" of the service "{service}" that {behaviour}')
def step_other_server(context, server_id, service, behaviour):
    work = context.gateway.add_server(server_id, [behaviour], service=service)
    context.run_async(work)


@when("a request waits at the gateway for room")
def step_waits(context):
    world = context.gateway
    server = world.platform.servers.get("a")
    board = world.side.server_stats

    async def wait():
        context.room_taken = [board.start(server) for _ in range(in_flight_limit(server))]
        context.waiting_caller = await Caller(world).open()
        context.waiting_caller.send()
        await until(lambda: sum(world.side.queue.waiting_by_service().values()) == 1)

    context.run_async(wait())


@when('the gateway\'s route leads to "{service}" now')
def step_leads(context, service):
    async def change():
        put_in_force(context.gateway, service)

    context.run_async(change())


@when('the gateway\'s route is split between "{first}" and "{second}" now')
def step_split(context, first, second):
    async def change():
        split = (WeightedService(first, 1), WeightedService(second, 9))
        put_in_force(context.gateway, *split)

    context.run_async(change())


@when("the gateway's route is removed")
def step_removed(context):
    async def change():
        put_in_force(context.gateway)

    context.run_async(change())


@when("there is room at the gateway again")
def step_room(context):
    world = context.gateway

    async def free():
        server = world.platform.servers.get("a")
        for started in context.room_taken:
            world.side.server_stats.finish(server, started, False)
        world.side.queue.capacity_changed()
        context.waiting_answer = await context.waiting_caller.receive()

    context.run_async(free())


@when('a gateway caller asks, and before the answer the route leads to "{service}"')
def step_changed_in_flight(context, service):
    world = context.gateway

    async def run():
        caller = await Caller(world).open()
        caller.send()
        await until(world.requests)
        put_in_force(world, service)
        world.servers["a"].turns.release()
        context.waiting_answer = await caller.receive()

    context.run_async(run())


@when("a peer of the gateway has a newer configuration in force")
def step_peer_ahead(context):
    configurations = context.gateway.platform.configurations

    async def tell():
        newer = configurations.current().version + 1
        configurations.record_newer_version(newer, context.gateway.clock.now())

    context.run_async(tell())


@when("that newer configuration does not come to the gateway for {duration_s:g} s")
def step_does_not_come(context, duration_s):
    context.gateway.clock.shift_s += duration_s


@when("that newer configuration is in force at the gateway")
def step_caught_up(context):
    async def change():
        put_in_force(context.gateway, "shop")

    context.run_async(change())


@when("a gateway caller asks for a route that is {state}")
def step_asks(context, state):
    async def run():
        caller = await Caller(context.gateway).open()
        target = "/a/x" if state == "there" else "/nowhere/x"
        context.waiting_answer = await caller.ask(target=target)

    context.run_async(run())


@then('the waiting gateway request was answered by server "{server_id}"')
def step_answered_by(context, server_id):
    assert context.waiting_answer.status == 200, context.waiting_answer
    assert len(context.gateway.servers[server_id].requests) == 1, context.gateway.servers


@then("the gateway counted {count:d} request for its retry budget")
def step_counted(context, count):
    assert counted_requests(context.gateway) == count, counted_requests(context.gateway)


@then("the waiting gateway request was answered {status:d}")
def step_answered(context, status):
    assert context.waiting_answer.status == status, context.waiting_answer


@then("the waiting gateway request was answered 503 with a time to come back")
def step_come_back(context):
    assert context.waiting_answer.status == 503, context.waiting_answer
    assert 0 < float(context.waiting_answer.header("Retry-After")) < 1, context.waiting_answer


@then('server "{server_id}" of the gateway has no request in flight')
def step_idle(context, server_id):
    async def check():
        await asyncio.sleep(0)
        assert context.gateway.side.server_stats.in_flight(server_id) == 0
        received = context.gateway.servers[server_id].requests
        assert not received, received

    context.run_async(check())
