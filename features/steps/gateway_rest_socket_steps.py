"""Steps on what a gateway sends to servers that asked for rest or said that they leave."""

import asyncio

import gateway_rest_behaviours  # noqa: F401
from behave import given, then, when
from gateway_request_steps import assert_whole
from gateway_room_steps import start_callers
from gateway_scripted_server import NAMES
from gateway_world import ask, make_record, make_service, until
from store_versions import at

from indigoworks.gateway.server_connection import ServerConnection
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.servers.server_notice import ServerNotice

HALF = KEY_COUNT // 2


@given("the gateway's service has keys")
def step_keyed(context):
    context.gateway.services = (make_service(is_keyed=True),)
    context.gateway.configure()


def put_owners(context, *ranges):
    tables = context.gateway.tables
    version = tables.table("shop").version.counter + 1
    tables.put(OwnershipTable("shop", ranges, version, at(version)))
    context.gateway.side.queue.capacity_changed()


@given('gateway server "{low}" owns the lower half of the keys and "{high}" the upper')
def step_two_owners(context, low, high):
    put_owners(context, OwnedRange(0, HALF - 1, low, 1), OwnedRange(HALF, KEY_COUNT - 1, high, 1))


@when('gateway server "{owner}" owns all keys')
def step_one_owner(context, owner):
    async def run():
        put_owners(context, OwnedRange(0, KEY_COUNT - 1, owner, 2))

    context.run_async(run())


@when("a gateway caller asks for {keys}")
def step_ask_keys(context, keys):
    async def run():
        names = keys.replace(" and ", ", ").split(", ")
        return [
            await ask(context.gateway, headers=(f"{NAMES.key}: {each.removeprefix('key ')}",))
            for each in names
        ]

    context.gateway_answers.extend(context.run_async(run()))


@then("the last gateway answer is the server's, whole")
def step_last_whole(context):
    assert_whole(context.gateway_answers[-1])


@when("{duration_s:g} s pass at the gateway")
def step_pass(context, duration_s):
    context.gateway.clock.shift_s += duration_s


@then("one of them got 1 request alone")
def step_one_alone(context):
    counts = sorted(len(each.requests) for each in context.gateway.servers.values())
    assert counts[0] == 1 < counts[1], counts


@then("every gateway answer says to come back after {least_s:g} to {most_s:g} s")
def step_come_back(context, least_s, most_s):
    after_s = [float(each.header("Retry-After")) for each in context.gateway_answers]
    assert all(least_s <= each <= most_s for each in after_s), after_s


@when('gateway server "{server_id}" works on {count:d} request')
def step_works(context, server_id, count):
    server = context.gateway.servers[server_id]
    context.run_async(until(lambda: len(server.requests) >= count))


@when('gateway server "{server_id}" goes on')
def step_goes_on(context, server_id):
    context.gateway.servers[server_id].go_on()


@when("{count:d} gateway callers more wait")
def step_more_wait(context, count):
    context.gateway_callers += start_callers(context, [f"/a/more{n}" for n in range(count)])
    queue = context.gateway.side.queue
    context.run_async(until(lambda: sum(queue.waiting_by_service().values()) == count))


@when("the gateway callers are answered")
def step_answered(context):
    async def run():
        return await asyncio.gather(*context.gateway_callers)

    for each in context.run_async(run()):
        assert each.status == 503, each


@then("the gateway server got as many requests as it has room for")
def step_room(context):
    got = len(context.gateway_server.requests)
    assert got == context.gateway_limit, (got, context.gateway_limit)


@given('gateway server "{server_id}" asks for 3 s of rest while a connection to it comes about')
def step_while_connecting(context, server_id):
    servers = context.gateway.platform.servers

    class AskingConnection(ServerConnection):
        async def connect(self, timeout_s):
            is_connected = await super().connect(timeout_s)
            servers.record_notice(server_id, ServerNotice(rest_s=3.0))
            return is_connected

    context.gateway.side.sender._open_connection = AskingConnection


@then('the gateway believes that it reaches server "{server_id}"')
def step_reaches(context, server_id):
    assert not context.gateway.side.server_stats.down.is_down(server_id)


@when('gateway server "{server_id}" starts again under its id')
def step_starts_again(context, server_id):
    known = context.gateway.platform.servers.get(server_id)
    for version, started_ms in ((2, 1_000), (3, 2_000)):
        record = make_record(server_id, known.address, version=version, started_ms=started_ms)
        context.run_async(context.gateway.put_server(record))


@when("{count:d} gateway callers send a request each in turn")
def step_in_turn(context, count):
    async def run():
        return [await ask(context.gateway) for _ in range(count)]

    context.gateway_answers.extend(context.run_async(run()))


@then('the gateway {believes} that server "{server_id}" may get new work')
def step_new_work(context, believes, server_id):
    expected = {"holds": True, "does not hold": False}[believes]
    assert context.gateway.platform.servers.is_usable(server_id) is expected
