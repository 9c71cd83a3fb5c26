"""Steps on the placement of keys by load."""

from dataclasses import replace

from behave import then

from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.ownership.group_load import GroupLoad
from indigoworks.ownership.load_balancer import HIGH_UTILISATION, LoadBalancer
from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.moves_by_load import overload_moves, rebalance_moves
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.table_editor import first_table, with_moves, without_former

LENGTH_S = 8.0
SERVERS = ("a", "b", "c", "d")
TABLE = first_table("shop", SERVERS, [1, 1, 1, 1])
FIRST_OF_B = TABLE.ranges_of("b")[0].first


class SetClock:
    """A clock that stands where it was set."""

    def __init__(self):
        self.at_s = 0.0

    def now(self):
        return self.at_s


def window(keys):
    clock = SetClock()
    made = LoadWindow(LENGTH_S, clock)
    clock.at_s = LENGTH_S
    made.add(KeySample("shop", tuple(keys), len(keys)))
    return made


def capacities(**slower):
    """Return servers of 2 slots that take 0.1 s a request, or so many times as long."""
    return [ServerCapacity(each, 2, 20.0 / slower.get(each, 1.0)) for each in SERVERS]


def load_of(table, made, server_id):
    return sum(made.count_between(each.first, each.last) for each in table.ranges_of(server_id))


@then("gateway balancer: a hot range is cut and its part goes to the idlest server")
def step_hot_range(context):
    keys = [FIRST_OF_B + 10 + number % 60 for number in range(200)]
    made = window(keys)
    moves = LoadBalancer(TABLE, made).overload_moves(capacities(), HIGH_UTILISATION)
    assert moves and all(each.from_server == "b" for each in moves), moves
    after = with_moves(TABLE, moves)
    assert load_of(after, made, "b") <= 0.65 * len(keys), moves


@then("gateway balancer: a range too hot for two servers is cut for several in one decision")
def step_several(context):
    keys = [FIRST_OF_B + 10 + number % 60 for number in range(400)]
    made = window(keys)
    moves = LoadBalancer(TABLE, made).overload_moves(capacities(), HIGH_UTILISATION)
    after = with_moves(TABLE, moves)
    loads = {each: load_of(after, made, each) / len(keys) for each in SERVERS}
    assert max(loads.values()) <= 0.35, (loads, moves)
    moved = sum(each.last - each.first + 1 for each in moves)
    assert moved < TABLE.ranges_of("b")[0].width, moves


@then("gateway balancer: keys that turned hot a moment ago count by their load of that moment")
def step_burst(context):
    """Keys of "b" ask for nearly twice its slots, for a third of a second by now."""
    clock = SetClock()
    peers = PeerTable(clock)
    load = GroupLoad(peers, clock)
    calm = [each.first + 5 for each in TABLE.ranges]
    hot = [FIRST_OF_B + 10 + number % 60 for number in range(14)]
    for tick in range(63):
        clock.at_s = tick / 10
        keys = [*calm, *hot] if tick >= 60 else calm
        peers.add_samples([KeySample("shop", tuple(keys), len(keys))])
        load.collect_samples(["shop"])
    servers = [ServerCapacity(each, 6, 60.0) for each in SERVERS]
    after = with_moves(TABLE, overload_moves(TABLE, load, servers))
    of_b = load_of(after, load.burst("shop"), "b")
    assert of_b <= 0.6 * load_of(TABLE, load.burst("shop"), "b"), after.ranges


@then("gateway balancer: a single hot key goes to a much faster server and is not cut")
def step_hot_key(context):
    key = FIRST_OF_B + 77
    made = window([key] * 150)
    moves = LoadBalancer(TABLE, made).overload_moves(
        capacities(a=2.0, b=2.0, d=2.0), HIGH_UTILISATION
    )
    assert [(each.first, each.last, each.to_server) for each in moves] == [(key, key, "c")], moves


@then("gateway balancer: keys beside a hot key leave its server")
def step_beside(context):
    key = FIRST_OF_B + 77
    beside = [FIRST_OF_B + 300 + number for number in range(60)]
    made = window([key] * 150 + beside)
    moves = LoadBalancer(TABLE, made).overload_moves(capacities(), HIGH_UTILISATION)
    assert moves and not any(each.first <= key <= each.last for each in moves), moves


@then("gateway balancer: servers with little load are left alone")
def step_idle(context):
    made = window([FIRST_OF_B + number for number in range(12)])
    balancer = LoadBalancer(TABLE, made)
    assert not balancer.overload_moves(capacities(), HIGH_UTILISATION)
    assert not balancer.rebalance_moves(capacities())


@then("gateway balancer: a clearly slower server gives keys away while others have room")
def step_slow(context):
    keys = [each.first + number * 7 for each in TABLE.ranges for number in range(30)]
    made = window(keys)
    slow = capacities(b=2.5)
    moves = LoadBalancer(TABLE, made).rebalance_moves(slow)
    assert moves and all(each.from_server == "b" for each in moves), moves
    assert not LoadBalancer(TABLE, made).rebalance_moves(capacities(b=1.2))


@then("gateway balancer: of 60 busy servers the slow ones are relieved within four decisions")
def step_many(context):
    names = [f"s{number:02}" for number in range(60)]
    table = first_table("shop", names, [1] * len(names))
    # Two thirds are slow: equal shares of the keys keep these busy for 0.98 of their time, the
    # others for 0.44 of it.
    servers = [
        ServerCapacity(name, 3, 31.0 if number % 3 == 0 else 14.0)
        for number, name in enumerate(names)
    ]
    hits = round(13.7 * LENGTH_S)
    made = window([each.first + number * 7 for each in table.ranges for number in range(hits)])

    def most_used():
        return max(
            load_of(table, made, each.server_id) / LENGTH_S / each.requests_per_s
            for each in servers
        )

    assert most_used() > 0.95
    for _ in range(4):
        moves = LoadBalancer(table, made).rebalance_moves(servers)
        table = without_former(with_moves(table, moves), table.ranges)
        table = replace(table, ranges=tuple(replace(each, former=()) for each in table.ranges))
    assert most_used() < 0.9, most_used()


@then("gateway balancer: a leaving server is emptied")
def step_leaver(context):
    made = window([FIRST_OF_B + number for number in range(40)])
    stayers = [each for each in capacities() if each.server_id != "b"]
    moves = LoadBalancer(TABLE, made).drain_moves({"b": "leaving"}, stayers)
    after = with_moves(TABLE, moves)
    assert not after.ranges_of("b"), after.ranges
    assert len({each.to_server for each in moves}) > 1, moves


@then("gateway balancer: parts of a hot range go to faster servers while these have room")
def step_faster_first(context):
    hot = [FIRST_OF_B + 10 + number % 60 for number in range(190)]
    others = [TABLE.ranges_of(each)[0].first + number for each in "ad" for number in range(30)]
    made = window([*hot, *others])
    balancer = LoadBalancer(TABLE, made)
    moves = balancer.overload_moves(capacities(c=2.5), HIGH_UTILISATION)
    assert {each.to_server for each in moves} == {"a", "d"}, moves
    leavers = balancer.drain_moves({"b": "leaving"}, capacities(c=2.5)[2:])
    assert {each.to_server for each in leavers if each.first > FIRST_OF_B + 70} <= {"c", "d"}
    assert any(each.to_server == "d" for each in leavers), leavers


@then("gateway balancer: a hot key that moved stays unless a server is several times as fast")
def step_hot_key_stays(context):
    key = FIRST_OF_B + 77
    made = window([key] * 150)
    moves = LoadBalancer(TABLE, made).overload_moves(capacities(b=2.0), HIGH_UTILISATION)
    moved = with_moves(TABLE, moves)
    table = without_former(moved, moved.ranges)
    owner = next(each.server_id for each in table.ranges if each.holds(key))
    balancer = LoadBalancer(table, made)
    assert not balancer.overload_moves(capacities(**{owner: 1.8}), HIGH_UTILISATION)
    again = balancer.overload_moves(capacities(**{owner: 4.0}), HIGH_UTILISATION)
    assert [(each.first, each.last) for each in again] == [(key, key)], again


@then("gateway balancer: nothing is evened out in the first seconds of traffic")
def step_first_seconds(context):
    """The leader has stood idle for longer than its windows are when the first requests come."""
    clock = SetClock()
    peers = PeerTable(clock)
    load = GroupLoad(peers, clock)
    load.collect_samples(["shop"])
    moves = {}
    for tick in range(50):
        clock.at_s = 10 + tick / 10
        keys = [each.first + 7 * tick for each in TABLE.ranges]
        peers.add_samples([KeySample("shop", tuple(keys), len(keys))])
        load.collect_samples(["shop"])
        moves[tick] = rebalance_moves(TABLE, load, capacities(b=2.5))
    assert not any(moves[tick] for tick in range(35)), moves
    assert moves[49], moves
