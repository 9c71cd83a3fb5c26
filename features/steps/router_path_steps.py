"""Steps on requests through one router, in virtual time."""

import asyncio

from behave import then, when
from router_fakes import LOST, UNREACHABLE, WRONG_OWNER
from router_world import error_kind, keep, timed

from indigoworks.router.outcome import Outcome

AT_ONCE_S = 1e-6


@when("requests with an unknown service, no key and too large a body come in")
def unroutable(context):
    async def script(world):
        await world.start("r1")
        return [
            await world.send("r1", "a", service="shoe"),
            await world.send("r1", "b", key=b""),
            await world.send("r1", "c", body=b"x" * 1001),
        ]

    keep(context, script)


@then('they end as "{k1}" {s1:d}, "{k2}" {s2:d} and "{k3}" {s3:d}, not run')
def refusals(context, k1, s1, k2, s2, k3, s3):
    ends = [(error_kind(each), each.status) for each in context.result]
    assert ends == [(k1, s1), (k2, s2), (k3, s3)], ends
    assert {each.outcome for each in context.result} == {Outcome.NOT_RUN}
    assert context.world.backends.sent == []


@when("nobody owns the keys")
def nobody(context):
    async def script(world):
        await world.start("r1")
        world.move("", 0)
        await asyncio.sleep(0.1)
        return await timed(world.send("r1", "a"))

    keep(context, script)


@then('the request ends at once as "{kind}" {status:d}, not run, with a time to come back')
def ends_at_once(context, kind, status):
    response, took_s = context.result
    assert (error_kind(response), response.status) == (kind, status)
    assert response.outcome is Outcome.NOT_RUN and response.retry_after_s > 0
    assert took_s <= AT_ONCE_S


@when("alpha refuses a {method} as wrong owner and the view moves to beta after {delay:f} s")
def wrong_owner(context, method, delay):
    async def script(world):
        await world.start("r1")
        world.backends.script["a"] = [WRONG_OWNER] * 9
        asyncio.get_running_loop().call_later(
            delay, lambda: (world.backends.script["a"].clear(), world.move("beta", 2))
        )
        return await timed(world.send("r1", "a", method))

    keep(context, script)


@then('the outcome is "{outcome}" and beta got the request {times:d} times')
def beta_got(context, outcome, times):
    response, _ = context.result
    addresses = context.world.backends.addresses("a")
    assert response.outcome.value == outcome, response
    assert addresses.count(context.world.beta_address) == times


@then("the answer came within {limit:f} s")
def within(context, limit):
    assert context.result[1] <= limit, context.result


@when("the answers of alpha to a {method} of {path} are lost {count:d} times")
def lose(context, method, path, count):
    async def script(world):
        await world.start("r1")
        world.backends.script["a"] = [LOST] * count
        return await world.send("r1", "a", method, path=path)

    keep(context, script)


@when("the answer to a GET is lost and then nobody owns the key")
def lose_then_no_owner(context):
    async def script(world):
        await world.start("r1")
        world.backends.script["a"] = [LOST]
        answer = world.backends.answer

        async def answer_after_move(address, request):
            world.move("", 0)
            await asyncio.sleep(0.1)
            return await answer(address, request)

        world.backends.answer = answer_after_move
        return await world.send("r1", "a")

    keep(context, script)


@then('the outcome is "{outcome}" with status {status:d} and it was sent {times:d} times')
def outcome_and_times(context, outcome, status, times):
    response = context.result
    assert (response.outcome.value, response.status) == (outcome, status), response
    assert context.world.backends.times_sent("a") == times


@when("the answers to {count:d} GETs are all lost")
def lose_all(context, count):
    async def script(world):
        await world.start("r1")
        for number in range(count):
            world.backends.script[f"g{number}"] = [LOST] * 9
            await world.send("r1", f"g{number}")

    keep(context, script)


@then("at most {count:d} requests were sent")
def at_most_sent(context, count):
    sent = len(context.world.backends.sent)
    assert 200 < sent <= count, sent


def idempotent(world, request_id, body=b"order", **fields):
    return world.send("r1", request_id, "POST", body=body, idempotency_key="k1", **fields)


@when("three POSTs come in under one idempotency key and one more after their answer")
def coalesce(context):
    async def script(world):
        await world.start("r1")
        together = await asyncio.gather(*(idempotent(world, f"a{each}") for each in range(3)))
        return [*together, await idempotent(world, "a3")]

    keep(context, script)


@then("all four got the same answer and alpha got one request")
def same_answer(context):
    answers = {(each.outcome, each.status, each.body) for each in context.result}
    assert answers == {(Outcome.COMPLETED, 200, b"whole order")} and len(context.result) == 4
    assert len(context.world.backends.sent) == 1


@when("the answer to a POST with an idempotency key is lost and the POST is resent")
def resend_unknown(context):
    async def script(world):
        await world.start("r1")
        world.backends.script["a"] = [LOST]
        return [await idempotent(world, "a"), await idempotent(world, "b")]

    keep(context, script)


@then('both ended as "{outcome}" and alpha got one request')
def both_ended(context, outcome):
    assert [each.outcome.value for each in context.result] == [outcome] * 2
    assert len(context.world.backends.sent) == 1


@when("a POST with an idempotency key was not run and is resent")
def resend_not_run(context):
    async def script(world):
        await world.start("r1")
        world.backends.script["a"] = [UNREACHABLE] * 9
        first = await idempotent(world, "a")
        unreached = len(world.backends.sent)
        world.backends.sent.clear()
        return first, unreached, await idempotent(world, "b")

    keep(context, script)


@when("a caller goes away during its POST with an idempotency key and resends it")
def resend_after_leaving(context):
    async def script(world):
        await world.start("r1")
        task = idempotent(world, "a")
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.01)
        return None, 0, await idempotent(world, "b")

    keep(context, script)


@then("the resend completed and alpha got one request")
def resend_completed(context):
    first, _, second = context.result
    assert first is None or first.outcome is Outcome.NOT_RUN
    assert second.outcome is Outcome.COMPLETED and second.body == b"whole order"
    assert len(context.world.backends.sent) == 1


@when("a POST comes in under the idempotency key of another")
def reuse(context):
    async def script(world):
        await world.start("r1")
        await idempotent(world, "a")
        return await idempotent(world, "b", body=b"another order")

    keep(context, script)


@then('it ends as "{kind}" {status:d} and alpha got one request')
def reused(context, kind, status):
    assert (error_kind(context.result), context.result.status) == (kind, status)
    assert len(context.world.backends.sent) == 1
