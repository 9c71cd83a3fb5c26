"""Steps on the selection of dispatchers, without a network."""

from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

import indigoworks.forwarding.dispatcher_selector as dispatcher_selector
from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.forwarding.dispatcher_selector import DispatcherSelector

DIRECT_GATEWAYS = 16
ZONE = "a"
SERVERS = [f"s{number}" for number in range(40)]


class SetClock:
    """A clock that a step sets ahead."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def now(self):
        return self.now_s

    def advance(self, duration_s):
        self.now_s += duration_s


class Group:
    """All gateways as one of them knows them, with the times at which it heard them.

    Zone a has the strong gateways a1 and a2, zone b has b1 and b2; the others are weak.
    """

    def __init__(self, size, own_node) -> None:
        self.clock = SetClock()
        strong = [(name, name[0], 2.15) for name in ("a1", "a2", "b1", "b2")]
        weak = [(f"{'ab'[each % 2]}w{each}", "ab"[each % 2], 0.43) for each in range(size - 4)]
        self.peers = {
            name: PeerAddress(name, "boot", zone, Address("h", 1), capacity)
            for name, zone, capacity in (*strong, *weak)
        }
        self.own_node = own_node
        self.ages_s = Counter()
        self.lookups = 0
        directory = SimpleNamespace(
            others=lambda: [each for each in self.peers.values() if each.node != own_node],
            has_many=lambda: len(self.peers) > DIRECT_GATEWAYS,
        )
        self.selector = DispatcherSelector(
            self.peers[own_node],
            lambda: True,
            directory,
            SimpleNamespace(heard_time_s=self._heard_s),
            self.clock,
        )

    def _heard_s(self, node):
        self.lookups += 1
        return self.clock.now() - self.ages_s[node]

    def dispatchers(self):
        """Return the node selected for each server."""
        return {each: self.selector.dispatcher(each, ZONE).node for each in SERVERS}


@given("{count:d} selectors of dispatchers in a group of {size:d} gateways")
def selectors(context, count, size):
    own_nodes = ("a1", "b2", "aw0")[:count]
    context.groups = [Group(size, each) for each in own_nodes]


@given("a selector of dispatchers in a group of {size:d} gateways")
def one_selector(context, size):
    # A gateway of zone b, which is no candidate for servers of zone a.
    context.group = Group(size, "bw1")


@then("all of them select the same dispatcher for each of 40 servers")
def same(context):
    first, *others = [each.dispatchers() for each in context.groups]
    assert all(each == first for each in others), others
    context.selected = first


@then("each strong gateway of the zone is selected for at least {least:d} of them")
def spread(context, least):
    counts = Counter(context.selected.values())
    assert set(counts) == {"a1", "a2"} and min(counts.values()) >= least, counts


@when("no gateway falls silent")
def nothing(context):
    context.group.dispatchers()


@when("{names} last heard {age_s:g} s ago")
def last_heard(context, names, age_s):
    group = context.group
    group.dispatchers()
    names = names.removesuffix(" was").removesuffix(" are")
    zone_a = [name for name, each in group.peers.items() if each.zone == ZONE]
    for name in zone_a if names == "all of zone a" else names.split(", "):
        group.ages_s[name] = age_s
    group.clock.advance(dispatcher_selector.CANDIDATES_CACHE_S)


@when("a1 is excluded")
def excluded(context):
    context.group.dispatchers()
    context.group.selector.exclude("a1")


@when("a1 is excluded for {age_s:g} s")
def excluded_before(context, age_s):
    excluded(context)
    context.group.dispatchers()
    context.group.clock.advance(age_s)


@then("the dispatchers of 40 servers are all of {names}")
def are_all_of(context, names):
    selected = set(context.group.dispatchers().values())
    assert selected == set(names.split(", ")), selected


@then("the dispatchers of 40 servers are {least:d} or more weak ones of the zone")
def are_many_of_zone(context, least):
    selected = set(context.group.dispatchers().values())
    zones = {context.group.peers[each].zone for each in selected}
    assert zones == {ZONE} and len(selected) >= least, selected


@when("the dispatcher of a server is excluded for that server")
def excluded_for_server(context):
    context.before = context.group.dispatchers()
    context.group.selector.exclude(context.before["s0"], "s0")


@then("only that server has another dispatcher")
def only_that_server(context):
    now = context.group.dispatchers()
    assert [each for each in SERVERS if now[each] != context.before[each]] == ["s0"], now


@then("it has its former dispatcher again {after_s:g} s later")
def former_again(context, after_s):
    context.group.clock.advance(after_s)
    assert context.group.dispatchers() == context.before


@then("no server has a dispatcher")
def no_dispatcher(context):
    selector = context.group.selector
    assert all(selector.dispatcher(each, ZONE) is None for each in SERVERS)
    assert not selector.is_own("s0", ZONE)


@when("{requests:d} requests for {servers:d} servers come within {duration_s:g} s")
def many_requests(context, requests, servers, duration_s):
    group = context.group
    hashed = context.hashed = Counter()
    digest = dispatcher_selector._digest

    def counted(server_id, node):
        hashed[server_id, node] += 1
        return digest(server_id, node)

    dispatcher_selector._digest = counted
    try:
        for number in range(requests):
            group.selector.dispatcher(f"s{number % servers}", ZONE)
            group.clock.advance(duration_s / requests)
    finally:
        dispatcher_selector._digest = digest


@then("peers were looked up at most {most:d} times")
def looked_up(context, most):
    assert context.group.lookups <= most, context.group.lookups


@then("each server was hashed once for each candidate")
def hashed_once(context):
    assert set(context.hashed.values()) == {1}, context.hashed.most_common(3)
    assert {node for _, node in context.hashed} == {"a1", "a2"}
