"""Steps on the placement of keys whose server names a limit."""

import asyncio

import detangle
from behave import then, when
from gateway_balancer_steps import FIRST_OF_B, LENGTH_S, SERVERS, TABLE, load_of, window
from gateway_control_steps import OWNERS
from gateway_control_world import SERVICE, ControlWorld

from indigoworks.common.limit_report import LimitReport
from indigoworks.exchange.key_sample import KeySample
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.load_balancer import HIGH_UTILISATION, LoadBalancer
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.table_editor import first_table, with_moves
from indigoworks.rowstore.store_version import NO_VERSION

MAX_STEPS = 20_000_000
SAMPLE_S = 0.1
LIMITED = "b"


def capacities(**limits):
    return [ServerCapacity(each, 2, 20.0, limits.get(each, float("inf"))) for each in SERVERS]


def spread_keys(per_s):
    """Return keys that bring each server `per_s` requests a second, spread over its range."""
    count = round(per_s * LENGTH_S)
    return [
        each.first + number * (each.width // count)
        for each in TABLE.ranges
        for number in range(count)
    ]


def moves_for(made, servers):
    return LoadBalancer(TABLE, made).overload_moves(servers, HIGH_UTILISATION)


@then("gateway limits: a server gives away what exceeds its limit, and keeps what it can serve")
def step_gives_away(context):
    made = window(spread_keys(3.0))
    moves = moves_for(made, capacities(b=1.5))
    assert moves and all(each.from_server == "b" for each in moves), moves
    left_per_s = load_of(with_moves(TABLE, moves), made, "b") / LENGTH_S
    assert 0 < left_per_s <= 1.5, left_per_s


@then("gateway limits: where all servers name a limit keys stay")
def step_all(context):
    made = window(spread_keys(3.0))
    assert not moves_for(made, capacities(a=1.5, b=1.5, c=1.5, d=1.5))


@then("gateway limits: a single key that is too much goes to a server that takes it")
def step_single(context):
    key = FIRST_OF_B + 77
    moves = moves_for(window([key] * 40), capacities(b=1.5))
    assert [(each.first, each.last, each.from_server) for each in moves] == [(key, key, "b")], moves


@then("gateway limits: a server with a limit is not taken for a slow one")
def step_not_slow(context):
    """It is asked for a quarter of what it takes, which is less than half of what it can do."""
    balancer = LoadBalancer(TABLE, window(spread_keys(2.0)))
    assert not balancer.rebalance_moves(capacities(b=8.0))


@then("gateway limits: a limit above what a server can do changes nothing")
def step_high(context):
    made = window([FIRST_OF_B + 10 + number % 60 for number in range(200)])
    assert moves_for(made, capacities(b=30.0)) == moves_for(made, capacities())


class PlacementRun:
    """A leader, four servers, and callers of all keys alike."""

    def __init__(self):
        self.world = ControlWorld(0)
        for number, name in enumerate(SERVERS):
            self.world.list_server(name, number + 1)
        self.world.store.put(OWNERS, first_table(SERVICE, SERVERS, [1] * len(SERVERS)).encode())
        self.world.store.put(LEADER_KEY, LeaderRow(3, "n1", "boot-1", NO_VERSION).encode())
        self.tasks = []
        self.number = 0

    def start(self, per_s):
        works = (self.world.follower.run(), self.world.member.run(), self.ask(per_s))
        self.tasks = [asyncio.ensure_future(each) for each in works]

    async def ask(self, per_s):
        while True:
            count = round(per_s * SAMPLE_S)
            keys = [self.next_key() for _ in range(count)]
            self.world.peers.add_samples([KeySample(SERVICE, tuple(keys), count)])
            await asyncio.sleep(SAMPLE_S)

    def next_key(self):
        """Return keys that are spread evenly however many of them are looked at."""
        self.number += 1
        return (self.number * 40503) % KEY_COUNT

    def share(self):
        """Return the part of all keys that the limited server owns."""
        ranges = self.world.tables.table(SERVICE).ranges_of(LIMITED)
        return sum(each.width for each in ranges) / KEY_COUNT

    def tell(self, per_s):
        """A peer tells that it has just heard the server's word."""
        record = self.world.servers.get(LIMITED)
        self.world.servers.notices.limits.record_from_peer(record, LimitReport(per_s, 0.0))

    async def tell_for(self, per_s, for_s):
        for _ in range(round(for_s)):
            self.tell(per_s)
            await asyncio.sleep(1.0)

    def stop(self):
        for each in self.tasks:
            each.cancel()


def play(script):
    async def main():
        run = PlacementRun()
        run.start(40.0)
        try:
            await asyncio.sleep(12.0)
            await script(run)
        finally:
            run.stop()
            await asyncio.gather(*run.tasks, return_exceptions=True)

    detangle.run(main, max_steps=MAX_STEPS)


@when("gateway limits: of 4 servers with 40 requests a second one takes 2 for 20 s")
def step_limit(context):
    async def script(run):
        context.shares = {"before": run.share()}
        await run.tell_for(2.0, 4.0)
        context.shares["soon"] = run.share()
        most = 0.0
        for _ in range(16):
            run.tell(2.0)
            await asyncio.sleep(1.0)
            most = max(most, run.share())
        context.shares["most"] = most
        run.tell(None)
        await asyncio.sleep(8.0)
        context.shares["after"] = run.share()

    play(script)


@then("gateway limits: 3 s later it has no more keys than it takes")
def step_soon(context):
    """The leader knows of the limit for 3 s: 2 of 40 requests a second are a part of 0.05."""
    assert context.shares["before"] > 0.2, context.shares
    assert context.shares["soon"] <= 0.05, context.shares


@then("gateway limits: it is given no more until the end")
def step_most(context):
    assert 0 < context.shares["most"] <= 0.05, context.shares


@then("gateway limits: 8 s after the end it has half of its usual part at least")
def step_after(context):
    assert context.shares["after"] >= 0.125, context.shares


@when("gateway limits: of 4 servers with 40 requests a second one takes 0 and loses all keys")
def step_zero(context):
    async def script(run):
        await run.tell_for(0.0, 4.0)
        context.shares = {"lost": run.share()}
        # Nobody sends it anything any more, so nobody hears from it.
        most = 0.0
        for _ in range(20):
            await asyncio.sleep(1.0)
            most = max(most, run.share())
        context.shares["tried"] = most
        await run.tell_for(0.0, 4.0)
        context.shares["again"] = run.share()

    play(script)


@then(
    "gateway limits: it has keys again after a while, and loses them when it names its limit again"
)
def step_tried(context):
    """One request in a second and a half is the least that the leader sees: a part of 0.017."""
    assert context.shares["lost"] <= 0.017, context.shares
    assert context.shares["tried"] >= 0.05, context.shares
    assert context.shares["again"] <= 0.017, context.shares
