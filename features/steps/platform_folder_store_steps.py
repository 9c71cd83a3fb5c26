"""Steps on the platform folder's store, against a stand-in."""

import asyncio
import json

from behave import given, then, when
from eliot import add_destinations, remove_destination
from gateway_world import HOST, free_port, make_ports, make_settings, until
from platform_folder_store_stand_in import StoreStandIn, wire

# isort: split
from configuration_reader import read_configuration
from http_row_store import HttpRowStore
from server_entry_reader import read_server_entry
from store_versions import at

from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.gateway.platform_subsystem import MAX_SERVERS_PACE_S, PlatformSubsystem
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import ABSENT, ExpectedVersion, RowPut, Transaction

TABLE = "t"
KEYS = ("k1", "k2")


def connect(context, address):
    clock = LoopClock()
    context.platform_health = StoreHealth(clock)
    sender = HttpSender(clock, 4)
    context.platform_store = HttpRowStore(address, sender, context.platform_health, clock)


@given("a platform folder store with pages of {count:d} rows")
def a_store(context, count):
    async def run():
        context.platform_stand_in = StoreStandIn(count)
        connect(context, context.platform_stand_in.start())

    context.run_async(run())


@given("a platform folder store at whose address nothing listens")
def no_store(context):
    connect(context, Address(HOST, free_port()))


@given('the platform folder store holds {count:d} rows in part "p" and {others:d} in part "q"')
def holds(context, count, others):
    keys = [f"k/{number:02}é" for number in range(count)]
    context.random.shuffle(keys)
    for key in keys:
        context.platform_stand_in.put(TABLE, "p", key, b"\x00" + key.encode())
    for number in range(others):
        context.platform_stand_in.put(TABLE, "q", str(number), b"")


@given("the platform folder store forgot its history before version {version:d}")
def forgot(context, version):
    context.platform_stand_in.forgotten = version


@given("the platform folder store {trouble} the next call")
def next_trouble(context, trouble):
    context.platform_stand_in.troubles = [trouble.removeprefix("answers ").removesuffix(" to")]


@when('the platform folder reads part "{part}"')
def reads(context, part):
    context.platform_result = context.run_async(context.platform_store.read(TABLE, TablePart(part)))


@then(
    'the platform folder got the {count:d} rows of part "{part}" in order, at the store\'s version'
)
def got_rows(context, count, part):
    got = context.platform_result.unwrap()
    stand_in = context.platform_stand_in
    expected = [
        (key, value, at(version))
        for (_, of_part, key), (value, version) in sorted(stand_in.rows.items())
        if of_part == part
    ]
    assert [(each.key, each.value, each.version) for each in got.rows] == expected
    assert len(expected) == count and got.version == at(stand_in.version)
    assert all((each.table, each.part) == (TABLE, part) for each in got.rows)
    assert not any(each.is_removed for each in got.rows)


@when("one row of the platform folder store is changed and one removed")
def change(context):
    keys = sorted(key for _, _, key in context.platform_stand_in.rows)
    context.platform_stand_in.put(TABLE, "p", keys[2], b"changed")
    context.platform_stand_in.remove(TABLE, "p", keys[0])
    context.platform_keys = (keys[2], keys[0])


def follow(context, version):
    work = context.platform_store.follow(TABLE, at(version), 0.01)
    context.platform_result = context.run_async(work)
    return context.platform_result


@then("the platform folder's feed from version {version:d} gives just these")
def feed_gives(context, version):
    got = follow(context, version).unwrap()
    changed, removed = got.rows
    assert (changed.key, changed.value, changed.is_removed) == (
        context.platform_keys[0],
        b"changed",
        False,
    )
    assert (removed.key, removed.value, removed.is_removed) == (context.platform_keys[1], b"", True)
    assert got.version == removed.version == at(context.platform_stand_in.version)


@then("the platform folder's feed from the newest version gives nothing")
def feed_empty(context):
    version = context.platform_stand_in.version
    got = follow(context, version).unwrap()
    assert got.rows == () and got.version == at(version)


@when("the platform folder follows from version {version:d}")
def follows(context, version):
    follow(context, version)


@when("the platform folder commits two rows that must be absent")
def commits(context):
    transaction = Transaction(
        0,
        "p",
        tuple(ExpectedVersion(TABLE, key, ABSENT) for key in KEYS),
        tuple(RowPut(TABLE, key, b"\xff" + key.encode()) for key in KEYS),
    )
    context.platform_result = context.run_async(context.platform_store.commit(transaction))


def assert_both(context):
    rows = context.platform_stand_in.rows
    version = context.platform_stand_in.version
    assert rows == {(TABLE, "p", key): (b"\xff" + key.encode(), version) for key in KEYS}, rows


@then("the platform folder store holds both under the version that was answered")
def holds_both(context):
    assert_both(context)
    assert context.platform_result.unwrap() == at(context.platform_stand_in.version)


@then("the platform folder store holds both rows nevertheless")
def holds_nevertheless(context):
    assert_both(context)


@then("the platform folder's call fails as {name}")
def fails_as(context, name):
    error = context.platform_result.unwrap_err()
    assert type(error).__name__ == name, error
    assert error.message and error.remedy


@then("the platform folder sees no trouble")
def no_trouble(context):
    assert context.platform_health.last_trouble_s is None


@then("the platform folder sees trouble")
def sees_trouble(context):
    assert context.platform_health.last_trouble_s is not None


def configuration(version):
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


def server_entry(state):
    entry = {"service": "shop", "address": "127.0.0.1:80", "zone": "z", "state": state}
    rest = {"version": "v1", "slots": 4, wire("warmupLeft"): 0, "seq": 1}
    return json.dumps(entry | rest).encode()


@given("the platform folder store holds configuration {version:d} and a server")
def holds_all(context, version):
    context.platform_stand_in.put("op", "", "config", configuration(version))
    context.platform_stand_in.put("servers", "", "s1", server_entry("ready"))


@when("the platform folder's followers run")
def followers_run(context):
    async def run():
        ports = make_ports(
            context.platform_health,
            store=context.platform_store,
            read_configuration=read_configuration,
            read_server=read_server_entry,
        )
        side = PlatformSubsystem(ports, make_settings(), LoopClock())
        context.platform_versions = []
        side.configurations.on_change(lambda each: context.platform_versions.append(each.version))
        context.platform_tasks = [asyncio.ensure_future(each.run()) for each in side.followers]
        await until(lambda: side.is_loaded)
        return side

    context.platform_side = context.run_async(run())


@then("the platform folder's configuration is {version:d} and its server is known")
def known(context, version):
    assert context.platform_side.configurations.current().version == version
    assert [each.server_id for each in context.platform_side.servers.usable("shop")] == ["s1"]


@when("the platform folder store gets an unreadable configuration, then a change of the server")
def unreadable(context):
    context.platform_stand_in.put("op", "", "config", b'{"version": 5')
    calls = context.platform_stand_in.calls
    seen = len(calls)
    # The feed is asked again by both followers before the server changes.
    context.run_async(until(lambda: len(calls) > seen + 4))
    change_server(context)


@when("the platform folder store gets a change of the server")
def change_server(context):
    context.platform_stand_in.put("servers", "", "s1", server_entry("draining"))


@then("the platform folder's configuration is {version:d} and its server drains")
def drains(context, version):
    servers = context.platform_side.servers
    context.run_async(until(lambda: not servers.is_usable("s1")))
    assert servers.get("s1").is_draining
    assert context.platform_side.configurations.current().version == version
    assert not any(each.done() for each in context.platform_tasks)


@when("the platform folder store gets an unreadable entry of the server, thrice")
def unreadable_entry(context):
    context.platform_lines = []
    add_destinations(context.platform_lines.append)
    context.add_cleanup(remove_destination, context.platform_lines.append)
    stand_in = context.platform_stand_in
    for sequence in range(3):
        stand_in.put("servers", "", "s1", json.dumps({"seq": sequence}).encode())
        # A feed tells the newest change of a row alone: let it tell each of these.
        context.run_async(asyncio.sleep(2 * MAX_SERVERS_PACE_S))
    # Once a sound entry has come, all before it have been seen.
    stand_in.put("servers", "", "s1", server_entry("ready"))
    servers = context.platform_side.servers
    context.run_async(until(lambda: servers.is_usable("s1")))


@then("the platform folder's log tells once that the entry cannot be read, and why")
def entry_refused(context):
    lines = [
        each for each in context.platform_lines if each["message_type"] == "server:entry_refused"
    ]
    assert len(lines) == 1, lines
    assert lines[0]["server"] == "s1" and "`service`" in lines[0]["reason"], lines


@when("the platform folder store gets configuration {first:d}, then {second:d}")
def gets_two(context, first, second):
    calls = context.platform_stand_in.calls
    context.platform_stand_in.put("op", "", "config", configuration(first))
    seen = len(calls)
    context.run_async(until(lambda: len(calls) > seen + 4))
    context.platform_stand_in.put("op", "", "config", configuration(second))


@then("the platform folder's configuration is {version:d}, and {other:d} never was")
def never_was(context, version, other):
    holder = context.platform_side.configurations
    context.run_async(until(lambda: holder.current().version == version))
    assert other not in context.platform_versions, context.platform_versions


@when('a row of its first page changes while the platform folder reads part "{part}"')
def change_between(context, part):
    stand_in = context.platform_stand_in
    key = sorted(key for _, _, key in stand_in.rows)[0]

    def once():
        stand_in.between_pages = lambda: None
        stand_in.put(TABLE, part, key, b"changed")

    stand_in.between_pages = once
    reads(context, part)


@then("the platform folder's reading and the feed after it hold the change")
def hold_change(context):
    reading = context.platform_result.unwrap()
    after = follow(context, reading.version.counter).unwrap()
    assert b"changed" in [each.value for each in (*reading.rows, *after.rows)]
