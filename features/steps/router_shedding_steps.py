"""Steps on what the dispatcher of one back end refuses, drops and sends again."""

import asyncio

from behave import then, when
from router_fakes import SHED

TURNS_OF_THE_LOOP_S = 1e-6


@when("{count:d} requests of one group arrive at once while {queue:d} may wait")
def burst(context, count, queue):
    async def script(bench):
        await bench.submit("first")
        await asyncio.gather(*(bench.submit(max_queue_length=queue) for _ in range(count)))

    context.run_bench(script)


@when("{count:d} requests arrive at once that may take {limit_s:f} s")
def burst_with_deadline(context, count, limit_s):
    async def script(bench):
        await bench.submit()
        await asyncio.gather(*(bench.submit(timeout_s=limit_s) for _ in range(count)))

    context.run_bench(script)


@when("{count:d} requests arrive at once that may wait {limit_s:f} s")
def burst_with_delay(context, count, limit_s):
    async def script(bench):
        await bench.submit()
        await asyncio.gather(*(bench.submit(max_queue_delay_s=limit_s) for _ in range(count)))

    context.run_bench(script)


@then('{count:d} requests were shed at once as "{kind}"')
def shed_exactly(context, count, kind):
    shed = context.bench.refused(kind)
    assert len(shed) == count, len(shed)
    assert max(each.took_s for each in shed) <= TURNS_OF_THE_LOOP_S


@then('at least {count:d} requests were shed at once as "{kind}"')
def shed_at_least(context, count, kind):
    shed = [each for each in context.bench.refused(kind) if each.took_s <= TURNS_OF_THE_LOOP_S]
    assert len(shed) >= count, len(shed)


@then("their times to come back lie between {low:f} and {high:f} s and differ")
def spread(context, low, high):
    times = [each.result.unwrap_err().retry_after_s for each in context.bench.refused("queue_full")]
    assert all(low <= each <= high for each in times), times
    assert len(set(times)) == len(times)


@then("{count:d} requests were answered")
def count_answered(context, count):
    assert len(context.bench.answered()) == count, len(context.bench.answered())


@then("no request ended more than {limit_s:f} s after it came")
def none_late(context, limit_s):
    longest_s = max(each.took_s for each in context.bench.ended["g"])
    assert longest_s <= limit_s + 1e-9, longest_s


@when("the server stops answering and requests that may take 1 s come in for 0.9 s")
def silent_server(context):
    async def script(bench):
        await bench.submit()
        bench.backends.service_s = 1e6
        tasks = []
        for _ in range(9):
            tasks.append(bench.submit(timeout_s=1.0))
            await asyncio.sleep(0.1)
        bench.last = await bench.submit(timeout_s=1.0)
        await asyncio.gather(*tasks)

    context.run_bench(script)


@then("the last request was refused at once")
def refused_at_once(context):
    last = context.bench.last
    assert last in context.bench.refused("wait_too_long") and last.took_s <= TURNS_OF_THE_LOOP_S


@when("one group keeps 20 requests waiting for 4 s")
def keep_20(context):
    context.run_bench(lambda bench: bench.keep_waiting("g", 20, 4.0))


@then("the concurrency in the seconds {a:f}, {b:f} and {c:f} was {x:d}, {y:d} and {z:d}")
def ramp(context, a, b, c, x, y, z):
    sent = [at_s for at_s, _, _ in context.bench.backends.sent]
    service_s = context.bench.backends.service_s
    measured = [
        sum(start_s <= at_s < start_s + service_s for at_s in sent) for start_s in (a, b, c)
    ]
    assert measured == [x, y, z], measured


@when("the server sheds a non-repeatable request once")
def shed_once(context):
    shed_times(context, 1)


@when("the server sheds a non-repeatable request {count:d} times")
def shed_times(context, count):
    async def script(bench):
        bench.backends.script["order"] = [SHED] * count
        await bench.submit(repeatable=False, request_id="order")

    context.run_bench(script)


@then("it was sent twice, {pause_s:f} s apart, and answered")
def sent_twice(context, pause_s):
    first, second = [at_s for at_s, _, _ in context.bench.backends.sent]
    assert pause_s <= second - first <= pause_s + 0.01
    assert len(context.bench.answered()) == 1


@then('the request ends as "{kind}", to come back after at least {low:f} s')
def ends_as(context, kind, low):
    (ended,) = context.bench.refused(kind)
    assert ended.result.unwrap_err().retry_after_s >= low


@when("one of 2 requests in flight and one of 2 waiting requests are cancelled")
def cancel_two(context):
    async def script(bench):
        tasks = [bench.submit(request_id=f"r{number}") for number in range(4)]
        await asyncio.sleep(0.01)
        tasks[0].cancel()
        tasks[3].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.run_bench(script)


@then("the server saw the cancellation of the one and never got the other")
def cancellations(context):
    assert context.bench.backends.cancelled == ["r0"]
    assert context.bench.backends.times_sent("r3") == 0


@then("the other two requests were answered")
def other_two(context):
    assert len(context.bench.answered()) == 2
    assert context.bench.dispatcher.is_idle


@when("a non-repeatable request comes twice under one id")
def twice(context):
    async def script(bench):
        await bench.submit(repeatable=False, request_id="order")
        await bench.submit(repeatable=False, request_id="order")

    context.run_bench(script)


@then('it was sent once and the second one ended as "{kind}" with outcome "{outcome}"')
def once(context, kind, outcome):
    (ended,) = context.bench.refused(kind)
    assert context.bench.backends.times_sent("order") == 1
    assert ended.result.unwrap_err().outcome.value == outcome


@when("the view expires while a request waits")
def expire(context):
    async def script(bench):
        tasks = [bench.submit(request_id=f"r{number}") for number in range(3)]
        await asyncio.sleep(0.01)
        bench.is_in_force = False
        await asyncio.gather(*tasks)

    context.run_bench(script)


@then('the waiting request ends as "{kind}" and was never sent')
def never_sent(context, kind):
    assert len(context.bench.refused(kind)) == 1
    assert context.bench.backends.times_sent("r2") == 0
