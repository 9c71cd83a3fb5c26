"""Steps on what one gateway sends over sockets to servers that name a limit."""

import asyncio
import json

from behave import given, then, when
from eliot import add_destinations, remove_destination
from gateway_scripted_server import BEHAVIOURS, NAMES, Behaviour, answer
from gateway_world import HOST, ZONE, ask
from store_versions import at

from indigoworks.exchange.peer_directory import PEER_PREFIX
from indigoworks.ownership.control_group import CONTROL_TABLE
from indigoworks.rowstore.row import Row


def names_limit(text: str, status: int = 200, length: int | None = None) -> Behaviour:
    """Answer with a limit in the words of `text`; `length`: of a body that is cut short."""

    async def behaviour(server, request, writer):
        headers = [f"Server-Limit: {text}"]
        headers += [f"{NAMES.not_run}: shed"] if status == 503 else []
        writer.write(answer(request, status, headers=headers, length=length))
        return length is None

    return behaviour


async def names_limit_in_surplus(server, request, writer):
    writer.write(answer(request, headers=("Server-Limit: 1",), request_id="another"))
    writer.write(answer(request))
    return True


async def held_then_names_limit(server, request, writer):
    await server.turns.acquire()
    server.working.discard(request)
    return await names_limit("0.5")(server, request, writer)


BEHAVIOURS.update(
    {
        f"names a limit of {text} a second": names_limit(text)
        for text in ("1", "0.5", "0", "1e0", "20", "1000000", "-1", "nan", "inf", "some", "1, 2")
    }
)
BEHAVIOURS.update(
    {
        "turns away and names a limit of 1 a second": names_limit("1", 503),
        "names a limit of 1 a second in a cut answer": names_limit("1", 500, 1000),
        "names a limit of 1 a second in a surplus answer": names_limit_in_surplus,
        "holds and names a limit of 0.5 a second": held_then_names_limit,
    }
)


@given("the gateway is alone in its group")
def step_alone(context):
    """It has read its own row, as it does at its start."""
    world = context.gateway
    entry = {"host": HOST, "port": 1, "boot": "b", "zone": ZONE}
    key = PEER_PREFIX + world.settings.node
    world.directory.apply([Row(CONTROL_TABLE, "", key, json.dumps(entry).encode(), at(1))])


@given("the lines of the gateway are read")
def step_read_lines(context):
    context.gateway_lines = []
    add_destinations(context.gateway_lines.append)
    # The first destination is given what was logged before there was any.
    context.gateway_lines.clear()
    context.add_cleanup(remove_destination, context.gateway_lines.append)


@then('{count:d} of them is "{message_type}"')
@then('{count:d} of them are "{message_type}"')
def step_lines(context, count, message_type):
    found = [each for each in context.gateway_lines if each["message_type"] == message_type]
    assert len(found) == count, found


@then("the gateway servers got {least:d} to {most:d} requests")
def step_got_between(context, least, most):
    got = len(context.gateway.requests())
    assert least <= got <= most, got


@then("{count:d} gateway answers are the server's, and the others refuse for a limit")
def step_answers(context, count):
    answers = context.gateway_answers
    served = [each for each in answers if each.status == 200]
    refused = [each for each in answers if each.status == 503 and b"server_limited" in each.body]
    assert len(served) == count and len(served) + len(refused) == len(answers), answers


@then("each later of the refused gateway callers is told to come back later")
def step_later(context):
    refused = [each for each in context.gateway_answers if each.status == 503]
    told_s = [float(each.header("Retry-After")) for each in refused]
    assert len(told_s) > 1 and told_s == sorted(set(told_s)), told_s


@when("gateway callers ask for {count:d} targets, one after the other")
def step_targets(context, count):
    async def run():
        return [await ask(context.gateway, target=f"/a/t{number}") for number in range(count)]

    context.gateway_answers.extend(context.run_async(run()))


@then("the gateway callers are all answered, and at most {count:d} more reached the server")
def step_answered_by_rate(context, count):
    async def run():
        return await asyncio.gather(*context.gateway_callers)

    answers = context.run_async(run())
    assert all(each.status in (200, 503) for each in answers), answers
    got = len(context.gateway_server.requests)
    assert got <= context.gateway_limit + count, (got, context.gateway_limit)
