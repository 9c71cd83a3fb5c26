"""Steps on requests through two routers and on planned stops, in virtual time."""

import asyncio
import json

import detangle
from behave import then, when
from hypothesis import given, settings, strategies
from router_world import error_kind, keep, timed

from indigoworks.admin.admin_call import AdminCall
from indigoworks.common.address import Address
from indigoworks.common.lease_bounds import MAX_CLOCK_DRIFT
from indigoworks.router import router as router_module
from indigoworks.router.outcome import Outcome
from indigoworks.router.peer_clock import PeerClock
from indigoworks.wire import control_pb2
from indigoworks.wire.rpc_client import RpcClient


@when("{count:d} requests come in at r1 and r2 at once")
def at_both(context, count):
    async def script(world):
        await world.start("r1", "r2")
        names = ("r1", "r2")
        tasks = [world.send(names[number % 2], f"a{number}") for number in range(count)]
        return await asyncio.gather(*tasks)

    keep(context, script)


@then("all completed and alpha had {count:d} requests in flight at most")
def all_completed(context, count):
    assert {each.outcome for each in context.result} == {Outcome.COMPLETED}
    assert len(context.result) == 40
    assert context.world.backends.most_in_flight[context.world.alpha_address] == count


@when("the machine of router r1 is lost and a POST comes in at r2")
def lost_dispatcher(context):
    async def script(world):
        await world.start("r1", "r2")
        detangle.network().crash("10.2.0.1")
        return await timed(world.send("r2", "a", "POST"))

    keep(context, script)


@when("the view of router r1 expires and a POST comes in at r2")
def expired_dispatcher(context):
    async def script(world):
        await world.start("r1", "r2")
        detangle.network().partition(["10.2.0.1"], ["10.1.0.1", "10.1.0.2"])
        await asyncio.sleep(2.2)
        return await timed(world.send("r2", "a", "POST"))

    keep(context, script)


@then('the outcome is "{outcome}" and alpha got the request once')
def alpha_once(context, outcome):
    response, _ = context.result
    assert response.outcome.value == outcome, response
    assert context.world.backends.times_sent("a") == 1


@when("router r1 is cut off from r2 and a GET and a POST come in at r2")
def silent_dispatcher(context):
    async def script(world):
        await world.start("r1", "r2")
        await world.send("r2", "first")
        world.cut("r1")
        return await asyncio.gather(
            timed(world.send("r2", "read")), timed(world.send("r2", "write", "POST"))
        )

    keep(context, script)


@then("the GET completed within {limit:f} s")
def read_completed(context, limit):
    response, took_s = context.result[0]
    assert response.outcome is Outcome.COMPLETED and took_s <= limit, context.result[0]


@then('the POST ended as "{outcome}" at its deadline, sent at most once')
def write_unknown(context, outcome):
    response, took_s = context.result[1]
    assert response.outcome.value == outcome and 2.0 <= took_s <= 2.2, context.result[1]
    assert context.world.backends.times_sent("write") <= 1


@when("router r1 is cut off from r2 and a POST comes in at r2 after {pause:f} s")
def silent_for_a_while(context, pause):
    async def script(world):
        await world.start("r1", "r2")
        await world.send("r2", "first")
        world.cut("r1")
        await asyncio.sleep(pause)
        return await timed(world.send("r2", "a", "POST"))

    keep(context, script)


@when("a POST of {timeout:f} s is held up between r2 and r1 until its time is over")
def held_up(context, timeout):
    async def script(world):
        await world.start("r1", "r2")
        await world.send("r2", "first")
        world.cut("r1")
        response = await world.send("r2", "a", "POST", timeout_s=timeout)
        detangle.network().heal()
        await asyncio.sleep(3.0)
        return response

    keep(context, script)


@then('it ended as "{outcome}" and alpha never got it')
def never_got(context, outcome):
    assert context.result.outcome.value == outcome
    assert context.world.backends.times_sent("a") == 0


@when("the machine of router r1 is lost while alpha works on a POST from r2")
def lost_with_request(context):
    async def script(world):
        await world.start("r1", "r2")
        world.backends.service_s = 0.5
        task = world.send("r2", "write", "POST")
        await asyncio.sleep(0.1)
        detangle.network().crash("10.2.0.1")
        # The machine is gone, and with it its connections.
        for client in world.routers["r2"]._forwarder._clients.values():
            client.close()
        return await task

    keep(context, script)


@then('the POST ended as "{outcome}" and alpha got it once')
def lost_once(context, outcome):
    assert context.result.outcome.value == outcome, context.result
    assert context.world.backends.times_sent("write") == 1


@when("a forwarded request has 1 s left, but its deadline on the clock of r1 is over")
def forwarded_late(context):
    async def script(world):
        await world.start("r1")
        message = control_pb2.ForwardRequest(
            request_id="a",
            service="shop",
            key=b"item",
            method="POST",
            server_name="alpha",
            server_incarnation="alpha-run",
            token=1,
            remaining_s=1.0,
            dispatcher_incarnation=world.routers["r1"].member.incarnation,
            deadline_clock_s=asyncio.get_running_loop().time() - 0.1,
        )
        client = RpcClient(Address("10.2.0.1", 7000))
        called = await client.call(control_pb2.Frame(forward_request=message), 5.0)
        return called.unwrap().forward_reply

    keep(context, script)


@then('r1 replies "{kind}", not run, and alpha never got it')
def replies(context, kind):
    reply = context.result
    assert (reply.error_kind, reply.outcome) == (kind, control_pb2.OUTCOME_NOT_RUN), reply
    assert context.world.backends.sent == []


@then("deadlines in the clock of a peer are never late, whatever the delays and the drift")
def never_late(context):
    seconds = strategies.floats(0, 100)

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(
        strategies.floats(-1e4, 1e4),
        strategies.floats(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT),
        strategies.lists(strategies.tuples(seconds, strategies.floats(0, 3)), min_size=1),
        seconds,
        seconds,
    )
    def check(offset_s, drift, answers, pause_s, remaining_s):
        def on_peer(own_s):
            return offset_s + own_s * (1 + drift)

        clock, now_s = PeerClock(), 0.0
        for wait_s, delay_s in answers:
            reading_s = on_peer(now_s + wait_s)
            now_s += wait_s + delay_s
            clock.record_reading(reading_s, now_s)
        now_s += pause_s
        deadline_s = clock.deadline(now_s + remaining_s, now_s)
        assert deadline_s <= on_peer(now_s + remaining_s) + 1e-6

    check()


@when("a caller at r2 goes away while alpha works on its request")
def goes_away(context):
    async def script(world):
        await world.start("r1", "r2")
        world.backends.service_s = 1.0
        task = world.send("r2", "a", "POST")
        await asyncio.sleep(0.1)
        was_sent = world.backends.times_sent("a")
        task.cancel()
        await asyncio.sleep(0.01)
        return was_sent, list(world.backends.cancelled)

    keep(context, script)


@then("alpha saw the cancellation within 0.01 s")
def saw_cancellation(context):
    assert context.result == (1, ["a"]), context.result


@when("router r1 is stopped while requests of its own callers and of r2 are in progress")
def planned_stop(context):
    async def script(world):
        await world.start("r1", "r2")
        world.backends.service_s = 0.4
        # The requests in progress must outlast the time for which r1 lingers anyway.
        router_module.STOP_LINGER_S = 0.1
        names = ("r1", "r2")
        tasks = [world.send(names[each % 2], f"a{each}", "POST") for each in range(6)]
        await asyncio.sleep(0.05)
        stopping = detangle.spawn(world.routers["r1"].stop(), host="10.2.0.1")
        await asyncio.sleep(0.01)
        late = [await world.send("r1", "b", "POST"), await world.send("r2", "c", "POST")]
        world.change(routers=[world.routers["r2"].member])
        await stopping
        return await asyncio.gather(*tasks), late

    linger_s = router_module.STOP_LINGER_S
    try:
        keep(context, script)
    finally:
        router_module.STOP_LINGER_S = linger_s


@then("all of them completed")
def none_cut(context):
    responses, _ = context.result
    assert [each.outcome for each in responses] == [Outcome.COMPLETED] * 6, responses


@then('a later request at r1 was refused as "{kind}", and one at r2 completed')
def later(context, kind):
    at_r1, at_r2 = context.result[1]
    assert error_kind(at_r1) == kind and at_r1.outcome is Outcome.NOT_RUN
    assert at_r2.outcome is Outcome.COMPLETED, at_r2


@when("an administration call comes in at r1 while its first controller is silent")
def administration(context):
    async def script(world):
        await world.start("r1")
        router = world.routers["r1"]

        def ask(method, path):
            call = AdminCall(method, f"/admin/v1/{path}")
            return detangle.spawn(router.administration.handle(call), host="10.2.0.1")

        await ask("GET", "members")
        detangle.network().partition(["10.2.0.1"], ["10.1.0.1"])
        change = await ask("PUT", "settings")
        read = await ask("GET", "settings")
        return read, change

    keep(context, script)


@then("a change ended as unknown and a read was answered by the other controller")
def administration_ends(context):
    read, change = context.result
    assert read.status == 200
    assert json.loads(change.body)["kind"] == "outcome_unknown" and change.status == 504
    calls = [[call.path for call in each.admin_calls] for each in context.world.controllers]
    assert calls == [["/admin/v1/members"], ["/admin/v1/settings"]], calls
