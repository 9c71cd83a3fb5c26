"""Steps on the dispatcher of one back end, in virtual time."""

import asyncio
from random import Random

import detangle
from behave import given, then, when
from result import Ok
from router_bench import Bench, Ended
from router_fakes import LOST, SHED, WRONG_OWNER, FakeBackends, server_message

from indigoworks.common.clock import LoopClock
from indigoworks.router.dispatcher import ServerDispatcher
from indigoworks.router.dispatcher_ports import DispatcherPorts
from indigoworks.router.range_loads import RangeLoads
from indigoworks.router.sent_requests import SentRequests
from indigoworks.router.server_record import server_record
from indigoworks.router.slow_start import SlowStart

FIRST_SEEN_WARM_S = -100.0


@given("a router dispatcher for a {state} server with {slots:d} slots and requests of {ms:d} ms")
def dispatcher(context, state, slots, ms):
    def make():
        backends = FakeBackends(service_s=ms / 1000)
        clock = LoopClock()
        ports = DispatcherPorts(
            clock,
            backends,
            Random(1),
            SentRequests(clock),
            lambda: context.bench.is_in_force,
            RangeLoads(clock),
        )
        first_seen_s = FIRST_SEEN_WARM_S if state == "warm" else clock.now()
        server = server_record(server_message("alpha", slots=slots))
        return Bench(ServerDispatcher(server, ports, SlowStart(first_seen_s)), backends)

    def run(script, seed=None):
        async def main():
            context.bench = make()
            return await script(context.bench)

        context.outcome = detangle.run(main, seed=seed, max_steps=10_000_000)
        return context.outcome

    context.run_bench = run


@when(
    'groups "{one}" of weight {w1:d} and "{two}" of weight {w2:d} '
    "each keep 20 requests waiting for 20 s"
)
def compete_by_weight(context, one, w1, two, w2):
    async def script(bench):
        await asyncio.gather(
            bench.keep_waiting(one, 20, 20.0, weight=w1),
            bench.keep_waiting(two, 20, 20.0, weight=w2),
        )

    context.run_bench(script)


@then('the dispatcher served "{one}" between {low:f} and {high:f} times as often as "{two}"')
def served_ratio(context, one, low, high, two):
    bench = context.bench
    ratio = len(bench.answered_by(one, 20.0)) / len(bench.answered_by(two, 20.0))
    assert low <= ratio <= high, ratio


@then("the server had {count:d} requests in flight at most")
def at_most_in_flight(context, count):
    assert list(context.bench.backends.most_in_flight.values()) == [count]


@when(
    'groups "{one}" with requests of {ms1:d} ms and "{two}" with requests of {ms2:d} ms '
    "compete for 20 s"
)
def compete_by_time(context, one, ms1, two, ms2):
    times_s = {one: ms1 / 1000, two: ms2 / 1000}

    async def script(bench):
        answer = bench.backends.answer

        async def answer_by_group(address, request):
            bench.backends.service_s = times_s[request.group]
            return await answer(address, request)

        bench.backends.answer = answer_by_group
        await asyncio.gather(
            bench.keep_waiting(one, 20, 20.0, request_timeout_s=9.0),
            bench.keep_waiting(two, 20, 20.0),
        )

    context.run_bench(script)
    context.slot_s = {
        name: len(context.bench.answered_by(name, 20.0)) * times_s[name] for name in times_s
    }


@then('the dispatcher gave "{one}" between {low:f} and {high:f} times the slot time of "{two}"')
def slot_time_ratio(context, one, low, high, two):
    ratio = context.slot_s[one] / context.slot_s[two]
    assert low <= ratio <= high, ratio


@when('"{calm}" sends {few:d} requests a second for 20 s while "{flood}" sends {many:d}')
def flood(context, calm, few, flood, many):
    async def script(bench):
        await asyncio.gather(
            bench.arrive(calm, few, 20.0), bench.arrive(flood, many, 20.0, max_queue_length=50)
        )

    context.run_bench(script)


@then('all requests of "{group}" were answered')
def all_answered(context, group):
    ended = context.bench.ended[group]
    assert len(ended) == 240 and len(context.bench.answered(group)) == 240


@then('no request of "{group}" took longer than {limit_s:f} s')
def none_longer(context, group, limit_s):
    longest_s = max(each.took_s for each in context.bench.ended[group])
    assert longest_s <= limit_s, longest_s


@then('at least {count:d} requests of "{group}" were answered')
def at_least_answered(context, count, group):
    assert len(context.bench.answered(group)) >= count, len(context.bench.answered(group))


@when('"{busy}" keeps 20 requests waiting for 5 s and "{rare}" then sends one')
def lend(context, busy, rare):
    async def script(bench):
        keeping = asyncio.ensure_future(bench.keep_waiting(busy, 20, 6.0))
        await asyncio.sleep(5.0)
        bench.served = len(bench.answered(busy))
        await bench.submit(rare)
        await keeping

    context.run_bench(script)


@when('"{busy}" keeps 20 requests waiting for 10 s and "{late}" does so from 5 s on')
def idle_then_busy(context, busy, late):
    async def script(bench):
        keeping = asyncio.ensure_future(bench.keep_waiting(busy, 20, 10.0))
        await asyncio.sleep(5.0)
        await bench.keep_waiting(late, 20, 5.0)
        await keeping

    context.run_bench(script)


@then(
    'the dispatcher served "{busy}" between {low:f} and {high:f} times as often as "{late}" '
    "after 5 s"
)
def served_ratio_later(context, busy, low, high, late):
    bench = context.bench
    served = len(bench.answered_by(busy, 10.0)) - len(bench.answered_by(busy, 5.0))
    ratio = served / len(bench.answered_by(late, 10.0))
    assert low <= ratio <= high, ratio


@when("the next in the queue is cancelled in the same turn of the loop in which it gets the slot")
def cancel_at_grant(context):
    async def script(bench):
        waiting = []
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: waiting.append(bench.submit(request_id="next")))
        await bench.run("first", "g", True, 5.0, {})
        # The slot has passed to the next one, whose task has not run since.
        waiting[0].cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        return await bench.submit(request_id="after")

    context.run_bench(script)


@then("the cancelled request was never sent and one after it is answered")
def slot_kept(context):
    sent = [request.request_id for _, _, request in context.bench.backends.sent]
    assert sent == ["first", "after"], sent
    assert isinstance(context.outcome.result, Ok), context.outcome


@then('the dispatcher served at least {count:d} requests of "{group}"')
def served_at_least(context, count, group):
    assert context.bench.served >= count, context.bench.served


@then('the request of "{group}" took at most {limit_s:f} s')
def took_at_most(context, group, limit_s):
    (ended,) = context.bench.ended[group]
    assert isinstance(ended.result, Ok) and ended.took_s <= limit_s + 1e-9, ended


@when(
    "{count:d} requests arrive at random, of which some are lost, shed, refused or cancelled, "
    "with seed {seed:d}"
)
def random_fates(context, count, seed):
    random = Random(seed)

    async def script(bench):
        tasks = []
        for number in range(count):
            fate = random.choice((None, None, LOST, SHED, WRONG_OWNER))
            identity = f"r{number}"
            if fate is not None:
                bench.backends.script[identity] = [fate]
            task = bench.submit(
                random.choice("abc"), random.random() < 0.5, identity, random.uniform(0.05, 1.0)
            )
            tasks.append(task)
            if random.random() < 0.2:
                asyncio.get_running_loop().call_later(random.uniform(0, 0.2), task.cancel)
            await asyncio.sleep(random.expovariate(50.0))
        return await asyncio.gather(*tasks, return_exceptions=True)

    context.run_bench(script, seed=seed)


@then("the dispatcher is idle and every request has ended")
def idle(context):
    assert context.bench.dispatcher.is_idle
    assert sum(context.bench.backends.in_flight.values()) == 0
    kinds = {type(each) for each in context.outcome}
    assert kinds == {Ended, asyncio.CancelledError}, kinds
