"""Steps on the lookup of owners after a server said that it does not hold a key."""

from dataclasses import replace

from behave import given, then, when
from gateway_world import make_record
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.server_list import ServerList

SERVICE = "shop"
STEP_S = 0.001


class ScenarioClock:
    def __init__(self):
        self.at_s = 100.0

    def now(self):
        return self.at_s


@given(
    'a gateway lookup of owners in which "a" has keys 0 to 99 and keys 200 to 299, '
    'and "b" keys 100 to 199'
)
def step_lookup(context):
    clock = context.lookup_clock = ScenarioClock()
    servers = ServerList(StoreHealth(clock), 1.0, clock)
    for number, name in enumerate("ab", 1):
        servers.put(make_record(name, Address("127.0.0.1", number)))
    tables = context.lookup_tables = OwnershipTables()
    ranges = (OwnedRange(0, 99, "a", 5), OwnedRange(100, 199, "b", 5), OwnedRange(200, 299, "a", 5))
    tables.put(OwnershipTable(SERVICE, ranges, 5, at(1)))
    context.lookup = OwnerLookup(tables, servers, ServerStats(PeerTable(clock), clock), clock)


@when('the gateway lookup hears that "{server}" does not hold key {key:d}')
def step_hears(context, server, key):
    context.lookup.record_not_held(SERVICE, key, server)


@when('the gateway lookup hears {count:d} times that "{server}" does not hold key {key:d}')
def step_hears_often(context, count, server, key):
    for _ in range(count):
        context.lookup.record_not_held(SERVICE, key, server)


@when("the gateway lookup's table gets new tokens")
def step_new_tokens(context):
    table = context.lookup_tables.table(SERVICE)
    ranges = tuple(replace(each, token=9) for each in table.ranges)
    context.lookup_tables.put(OwnershipTable(SERVICE, ranges, 9, at(2)))


@when("{duration_ms:d} ms pass for the gateway lookup")
def step_pass(context, duration_ms):
    context.lookup_clock.at_s += duration_ms / 1000 + STEP_S


@when("the gateway lookup hears nothing of it for {duration_s:d} s")
def step_silence(context, duration_s):
    context.lookup_clock.at_s += duration_s


@then('the gateway lookup gives key {key:d} to "{server}" as {state}')
def step_gives(context, key, server, state):
    owner = context.lookup.find(SERVICE, key)
    assert (owner.server.server_id, owner.state.value) == (server, state), owner


@then(
    'the gateway lookup hears of key {key:d} of "{server}" as soon as it is ready, '
    "and gives pauses of {pauses} ms"
)
def step_pauses(context, key, server, pauses):
    found = []
    for _ in pauses.split(", "):
        context.lookup.record_not_held(SERVICE, key, server)
        begun_s = context.lookup_clock.at_s
        while context.lookup.find(SERVICE, key).state.value == "pending":
            context.lookup_clock.at_s += STEP_S
        found.append(round((context.lookup_clock.at_s - begun_s) * 1000))
    expected = [int(each) for each in pauses.split(", ")]
    assert all(abs(a - b) <= 1 for a, b in zip(found, expected, strict=True)), found
