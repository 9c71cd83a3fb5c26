"""Steps on requests that are sent again: surplus answers, and keys that pass meanwhile."""

from behave import given, then
from gateway_scripted_server import BEHAVIOURS, NAMES, answer, whole
from store_versions import at

from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable


def surplus_behaviour(status):
    """Return a behaviour that sends a copy of a refusal before the next answer on a connection."""

    async def behave(server, request, writer):
        same = [each for each in server.requests if each.connection == request.connection]
        if len(same) > 1:
            copied = same[-2]
            writer.write(answer(copied, status, b"not run", (f"{NAMES.not_run}: 1",)))
        return await whole(server, request, writer)

    return behave


for refusal in (421, 503):
    BEHAVIOURS[f"sends a late {refusal} first"] = surplus_behaviour(refusal)


def passing_behaviour(outcome):
    """Return a behaviour that passes all keys to "b" before it does as `outcome` says."""

    async def behave(server, request, writer):
        server.pass_keys()
        return await BEHAVIOURS[outcome](server, request, writer)

    return behave


for what in ("loses the answer", "says misdirected", "ends"):
    BEHAVIOURS[f'{what} as its keys pass to "b"'] = passing_behaviour(what)


def put_owner(context, server_id, token):
    owned = OwnedRange(0, KEY_COUNT - 1, server_id, token)
    context.gateway.tables.put(OwnershipTable("shop", (owned,), token, at(token)))
    context.gateway.side.queue.capacity_changed()


@given('gateway server "{server_id}" has all keys from the start')
def step_owner(context, server_id):
    async def run():
        put_owner(context, server_id, 1)

    context.run_async(run())
    context.gateway.servers[server_id].pass_keys = lambda: put_owner(context, "b", 2)


@then('the gateway used {count:d} connections to server "{server_id}"')
def step_connections(context, count, server_id):
    assert context.gateway.servers[server_id].connections == count
