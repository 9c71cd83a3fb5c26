"""Steps on connections to dispatchers, repeats, refusals, and callers that leave."""

from behave import then, when
from dispatcher_world import SERVICE
from gateway_dispatcher_failure_steps import LONG_S, SERVER, WEAK, configure_all
from gateway_scripted_server import NAMES
from gateway_world import Caller, until

from indigoworks.forwarding.forward_reply import ForwardOutcome
from indigoworks.forwarding.forward_request import ForwardRequest

SHORT_AIM_S = 0.2


# ---- idle connections ----


@when("{count:d} {kind} requests are passed on, {apart_s:g} s apart")
def passed_on_apart(context, count, kind, apart_s):
    async def run():
        world = context.dispatchers
        configure_all(world, is_repeatable=kind == "safe", timeout_s=LONG_S, aim_s=LONG_S)
        world.hearing.cancel()
        for _ in range(count):
            assert (await world.ask()).status == 200
            world.gateways[WEAK].clock.shift_s += apart_s
            world.hear_all()
        assert world.dispatched() == {"answered": count}, world.dispatched()

    context.run_async(run())


@then("{count:d} signs of life were asked for")
def signs(context, count):
    client = context.dispatchers.gateways[WEAK].side.dispatchers.client
    assert client.signs_requested == count, client.signs_requested


@when("{count:d} requests are offered to it")
def offered_twice(context, count):
    async def run():
        world = context.dispatchers
        client = world.gateways[WEAK].side.dispatchers.client
        peer = world.addresses[context.dispatcher]
        request = ForwardRequest(
            "r", "GET", "shop.example", "/a/x", (), b"", 2.0, 7, 0.0, "c", SERVICE, 1, (), True
        )
        for _ in range(count):
            reply = await client.send(peer, request, LONG_S)
            assert reply.outcome is ForwardOutcome.DECLINED, reply

    context.run_async(run())


@then("{count:d} connections to the dispatcher were opened")
def opened_connections(context, count):
    client = context.dispatchers.gateways[WEAK].side.dispatchers.client
    assert client.connections_opened == count, client.connections_opened


# ---- repeats, refusals, callers that leave ----


@then("{count:d} repeat was counted, at the weak gateway")
def repeats_counted(context, count):
    async def run():
        used = {
            name: each.side.retry_budget.used(SERVICE)
            for name, each in context.dispatchers.gateways.items()
        }
        assert used == {WEAK: count, "d1": 0, "d2": 0}, used

    context.run_async(run())


@when("the dispatcher refuses a request of the weak gateway for overload")
def refuses(context):
    async def run():
        world = context.dispatchers
        configure_all(world, aim_s=SHORT_AIM_S)
        world.start_asking(world.dispatcher_of(SERVER))
        await until(lambda: len(context.scripted.working) == 1)
        client = world.gateways[WEAK].side.dispatchers.client
        send = client.send

        async def record(*arguments):
            context.reply = await send(*arguments)
            return context.reply

        client.send = record
        return await world.ask()

    context.received = context.run_async(run())


@then("the caller gets the dispatcher's time to come back")
def same_time(context):
    assert context.reply.outcome is ForwardOutcome.REFUSED, context.reply
    assert context.reply.reason == "overload", context.reply
    told = dict(context.reply.headers)["Retry-After"]
    assert context.received.status == context.reply.status
    assert context.received.header("Retry-After") == told and float(told) > 0, context.received
    assert len(context.scripted.requests) == 1


@when("a caller of the weak gateway leaves while its request is at the server")
def caller_leaves(context):
    async def run():
        # The request leaves its server at the end of its time: later than a step lasts.
        never_s = 5 * LONG_S
        configure_all(context.dispatchers, timeout_s=never_s, aim_s=never_s)
        caller = await Caller(context.dispatchers.gateways[WEAK]).open()
        caller.send(headers=(f"{NAMES.key}: 7",))
        await until(lambda: len(context.scripted.working) == 1)
        caller.close()
        await context.scripted.gone.wait()

    context.run_async(run())


@then("the server sees the end of the connection")
def sees_end(context):
    assert context.scripted.gone.is_set()
    assert context.dispatchers.dispatched() == {}
