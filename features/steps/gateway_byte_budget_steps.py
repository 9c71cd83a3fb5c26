"""Steps on the budget of buffered bytes."""

import asyncio
import gc

from behave import given, then, when
from gateway_scripted_server import BODY
from gateway_world import Caller, ask, until

from indigoworks.common.byte_budget import MIB, PROCESS_BUDGET, ByteBudget
from indigoworks.common.byte_share import ByteUse

STEP_BYTES = 64 * 1024


@when("{count:d} callers get whole bodies of {mib:d} MiB")
def whole_bodies(context, count, mib):
    async def read_one():
        caller = await Caller(context.bounds.world).open()
        caller.send()
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        size = 0
        while size < mib * MIB:
            part = await caller.reader.read(MIB)
            assert part, size
            size += len(part)
        caller.close()
        return size

    async def run():
        await context.bounds.measure()
        sizes = await asyncio.gather(*(read_one() for _ in range(count)))
        context.measured = await context.bounds.measure()
        print(context.measured)
        assert sizes == [mib * MIB] * count, sizes

    context.run_async(run())


@given("the byte budget is full of answers in hand")
def full_budget(context):
    context.held_answers = PROCESS_BUDGET.hold(PROCESS_BUDGET.limit)
    context.add_cleanup(context.held_answers.release)


@when("the answers in hand are sent")
def answers_sent(context):
    context.held_answers.release()


@when("a gateway caller sends a body of {mib:d} MiB")
def sends_body(context, mib):
    asked = ask(context.gateway, method="PUT", body=bytes(mib * MIB))
    context.budget_answer = context.run_async(asked)


@then(
    'the gateway caller is told that the request did not run for "{reason}", and when to come back'
)
def told(context, reason):
    answer = context.budget_answer
    assert answer.status == 503 and reason in answer.body.decode(), answer
    assert float(answer.header("Retry-After")) > 0, answer


@then('gateway server "{server_id}" got no request')
def got_none(context, server_id):
    assert not context.gateway.servers[server_id].requests


@then('the gateway caller has the answer of server "a"')
def has_answer(context):
    assert (context.budget_answer.status, context.budget_answer.body) == (200, BODY)


@when("a gateway caller reads nothing of its answer, and another one asks")
def stalled(context):
    async def run():
        world = context.gateway
        silent = await Caller(world).open()
        silent.writer.transport.pause_reading()
        silent.send()
        await until(lambda: PROCESS_BUDGET.large_used > 60 * MIB)
        context.budget_answer = await ask(world)
        silent.writer.transport.abort()

    context.run_async(run())


@then("the other gateway caller has the whole body of {mib:d} MiB")
def other_whole(context, mib):
    answer = context.budget_answer
    assert (answer.status, len(answer.body)) == (200, mib * MIB), answer


@when("{count:d} gateway callers leave in the middle of their answers")
def leave(context, count):
    async def run():
        for _ in range(count):
            caller = await Caller(context.gateway).open()
            caller.send()
            await caller.reader.readuntil(b"\r\n\r\n")
            caller.writer.transport.abort()

    context.run_async(run())


@then("the byte budget holds nothing")
def holds_nothing(context):
    def is_empty():
        gc.collect()
        return PROCESS_BUDGET.small_used == PROCESS_BUDGET.large_used == 0

    context.run_async(until(is_empty))


@given("a byte budget of {memory_mb:d} MB")
def byte_budget(context, memory_mb):
    context.budget = ByteBudget(memory_mb)
    context.budget_shares = {}


@then("the byte budget holds at most {mib:d} MiB")
def budget_limit(context, mib):
    assert context.budget.limit == mib * MIB, context.budget.limit


def take(share, count):
    """Take as many bytes as there is room for, up to `count`, in steps; return how many."""
    taken = 0
    while taken < count and share.take(STEP_BYTES):
        taken += STEP_BYTES
    return taken


@given('an answer "{name}" with a length in the byte budget, which has {mib:d} MiB')
def declared(context, name, mib):
    share = context.budget_shares[name] = context.budget.share(ByteUse.DECLARED)

    async def run():
        assert take(share, mib * MIB) == mib * MIB

    context.run_async(run())


@given('an answer "{name}" without a length in the byte budget, which gets what there is')
def undeclared(context, name):
    share = context.budget_shares[name] = context.budget.share(ByteUse.UNDECLARED)

    async def run():
        context.undeclared_bytes = take(share, 64 * MIB)

    context.run_async(run())


async def ask_for(share, count):
    while count > 0:
        if not share.take(STEP_BYTES):
            assert await share.wait(STEP_BYTES)
        count -= STEP_BYTES


@when('answer "{name}" asks the byte budget for {mib:d} MiB more')
def asks_more(context, name, mib):
    context.run_async(ask_for(context.budget_shares[name], mib * MIB))


@when('the byte budget is asked for {mib:d} MiB by "{name}", and "{old}" brings nothing more')
def stalls(context, mib, name, old):
    context.run_async(ask_for(context.budget_shares[name], mib * MIB))


@then('the byte budget gave room to "{name}" and cut "{other}"')
def gave_and_cut(context, name, other):
    shares = context.budget_shares
    assert shares[other].is_cut and not shares[name].is_cut
    assert context.budget.cut == 1


@then('the byte budget gave room to "{name}" and cut none')
def gave(context, name):
    assert context.budget.cut == 0
    assert not any(each.is_cut for each in context.budget_shares.values())
