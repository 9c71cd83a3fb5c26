"""Steps on an outage of the platform that begins at a chosen moment."""

import asyncio
from itertools import count

from behave import then, when

from indigoworks.common.ring.key_hash import key_hash
from indigoworks.router.caller_request import CallerRequest
from indigoworks.wire.control_pb2 import ChangeRanges, Command, RangeRecord
from indigoworks_lab.checkers.sole_ownership import check_sole_ownership
from indigoworks_lab.client.polling import becomes_true

SERVICE = "stock"
OUTAGE_S = 3.0
CALL_INTERVAL_S = 0.2
PATIENCE_S = 3.0
NUMBERS = count(1)


def key_in(record):
    names = (f"key-{number}".encode() for number in count())
    return next(name for name in names if record.start <= key_hash(name) <= record.end)


async def answer_to(script, key):
    """Return the answer of one router to a write on `key`."""
    number = next(NUMBERS)
    request = CallerRequest(
        request_id=f"outage-{number}",
        service=SERVICE,
        key=key,
        group="default",
        method="POST",
        path=f"/v1/{SERVICE}/{key.decode()}",
        body=b"x",
    )
    routers = list(script.deployment.routers.values())
    router = routers[number % len(routers)]
    async with asyncio.timeout(PATIENCE_S):
        return await router.process.spawn(router.router.handle(request))


async def begin_handover(script, leader):
    """Commit the handover of one range; return its record and its next owner."""
    records = leader.control_state.ranges(SERVICE)
    assert records and not any(each.next_owner for each in records)
    moving = RangeRecord()
    moving.CopyFrom(records[0])
    moving.next_owner = next(each.owner for each in records if each.owner != moving.owner)
    change = ChangeRanges(expected=[records[0]], replacement=[moving])
    proposing = leader.controller.node.propose(Command(change_ranges=change))
    assert (await leader.process.spawn(proposing)).is_ok()
    return moving


@when("the platform goes down for 3 s right after a handover was committed")
def step_outage(context):
    script = context.script
    context.moving_answers, context.other_answers = [], []

    async def call_on(record, answers, until_s):
        while script.loop.time() < until_s:
            answers.append(await answer_to(script, key_in(record)))
            await asyncio.sleep(CALL_INTERVAL_S)

    async def run():
        leader = await script.leader()
        context.moving = moving = await begin_handover(script, leader)
        script.deployment.platform.is_down = True
        until_s = script.loop.time() + OUTAGE_S
        # The owner is told to release; until then it still serves the range.
        await asyncio.sleep(CALL_INTERVAL_S)
        calls = [call_on(moving, context.moving_answers, until_s)]
        for record in leader.control_state.ranges(SERVICE):
            if record.start != moving.start:
                calls.append(call_on(record, context.other_answers, until_s))
        await asyncio.gather(*calls)
        script.deployment.platform.is_down = False

    script.run(run())


@then('every call on the moving range was refused unrun during the outage, for "{kind}"')
def step_refused(context, kind):
    answers = context.moving_answers
    assert answers
    found = {(each.outcome.value, each.error and each.error.kind) for each in answers}
    assert found == {("not-run", kind)}, found


@then("every call on the other ranges was completed during the outage")
def step_completed(context):
    outcomes = {each.outcome.value for each in context.other_answers}
    assert outcomes == {"completed"}, outcomes


@then("the next owner serves the range within {limit:g} s after the outage")
def step_served(context, limit):
    script = context.script

    async def is_served():
        return (await answer_to(script, key_in(context.moving))).status == 200

    assert script.run(becomes_true(is_served, limit)), "the range is not served"
    server = script.simulation.recorder.history.executions[-1].server
    assert server == context.moving.next_owner, (server, context.moving.next_owner)


@then("no moment of the run had two owners of a key")
def step_sole_owner(context):
    assert not check_sole_ownership(context.script.simulation.recorder.history)
