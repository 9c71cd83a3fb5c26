"""Steps on entries of the list of servers that may not be a server's own."""

from behave import then, when
from gateway_world import HOST, make_record

from indigoworks.common.address import Address

STARTED_MS = 1_790_000_000_000
OTHERS = ("a", "b")


def put(context, server_id, port, version, **fields):
    record = make_record(server_id, Address(HOST, port), version, **fields)
    context.gateway_list.put(record)


@when("gateway server entries come, one without a start {place} others")
def step_come(context, place):
    version = 5
    if place == "before":
        put(context, "lone", 9, version, sequence=1)
    for port, name in enumerate(OTHERS, 1):
        put(context, name, port, version + port, started_ms=STARTED_MS, sequence=3)
    if place == "beside":
        put(context, "lone", 9, version + 5, sequence=1)


@when('gateway server entry "{server_id}" comes again without a start, {change}')
def step_again(context, server_id, change):
    context.entry_version = getattr(context, "entry_version", 20) + 1
    sequence = 2 if change == "renewed" else 1
    put(context, server_id, 9, context.entry_version, sequence=sequence)


@then('gateway server entry "{server_id}" is unknown, the others are usable')
def step_unknown(context, server_id):
    servers = context.gateway_list
    assert servers.get(server_id) is None and not servers.is_listed(server_id)
    assert {each.server_id for each in servers.usable("shop")} == set(OTHERS)
    assert {each.server_id for each in servers.known("shop")} == set(OTHERS)
    for name in OTHERS:
        assert servers.holder_of_address(servers.get(name)) is None


@when('gateway server entry "{server_id}" has a start, then comes without one at another address')
def step_replaces(context, server_id):
    put(context, server_id, 1, 5, started_ms=STARTED_MS, sequence=3)
    put(context, server_id, 2, 6, sequence=1)


@when(
    'gateway server entry "{server_id}" comes with start {start:d} and sequence {sequence:d} '
    "at port {port:d}"
)
def step_run(context, server_id, start, sequence, port):
    context.entry_version = getattr(context, "entry_version", 20) + 1
    started_ms = STARTED_MS + start
    put(context, server_id, port, context.entry_version, started_ms=started_ms, sequence=sequence)


@then('gateway server entry "{server_id}" is usable at port {port:d}')
def step_usable_at(context, server_id, port):
    assert context.gateway_list.is_usable(server_id)
    assert context.gateway_list.get(server_id).address.port == port


@then('gateway server entry "{server_id}" is usable where it started')
def step_usable_there(context, server_id):
    assert context.gateway_list.is_usable(server_id)
    assert context.gateway_list.get(server_id).address.port == 1
