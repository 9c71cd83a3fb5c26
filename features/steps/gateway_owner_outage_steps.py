"""Steps on requests for a key without an owner, on a clock moved by hand."""

import asyncio
from random import Random

from behave import given, then, when
from gateway_group_world import FixedServers
from gateway_world import make_rate_budget, make_record
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks_lab.simulation.core.manual_clock import ManualClock, settle

KEY = 7
LAST = 65535


class OutageWorld:
    """One range whose owner is taken away and given back; the queue of one gateway."""

    def __init__(self, answer_s):
        self.clock = ManualClock()
        self.board = ServerStats(PeerTable(self.clock), self.clock)
        self.servers = FixedServers([make_record(each, Address("h", 1)) for each in "ab"])
        self.tables = OwnershipTables()
        rate_budget = make_rate_budget(self.clock)
        self.queue = DispatchQueue(
            ServerSelector(self.servers, self.board, rate_budget, "z1", Random(1)),
            OwnerLookup(self.tables, self.servers, self.board, self.clock),
            self.board,
            CapacityTracker(self.board, rate_budget),
            self.clock,
        )
        self.epoch = 0
        self.token = 1
        self.version = 0
        self.owner = "a"
        self.asked = []
        for server in self.servers.records.values():
            self.board._service_s[server.server_id] = answer_s
            self.board._samples[server.server_id] = 1
        self.put_table()

    def put_table(self):
        self.version += 1
        owned = OwnedRange(0, LAST, self.owner, self.token)
        self.tables.put(OwnershipTable("shop", (owned,), self.token, at(self.version)))

    def tell(self, is_pending):
        self.epoch += 1
        pending = (PendingRange("shop", 0, LAST, self.token),) if is_pending else ()
        self.tables.apply_beat(LeaderBeat(self.epoch, 0.0, 0.0, pending))
        self.queue.capacity_changed()

    def take(self, what):
        if what == "pending":
            self.tell(True)
        else:
            self.board.down.set_down(self.owner, True)
            self.queue.capacity_changed()

    def give_back(self):
        self.board.down.set_down(self.owner, False)
        self.tell(False)

    async def ask(self, left_s):
        now_s = self.clock.now()
        entry = WaitingRequest(
            group="g",
            weight=1.0,
            service="shop",
            key=KEY,
            priority=0,
            tried=frozenset(),
            limit_s=now_s + left_s,
        )
        self.asked.append(asyncio.ensure_future(self.queue.place(entry)))
        await settle()

    def last(self):
        return self.asked[-1]


@given("a gateway key whose owner answers within {answer_s:g} s")
def step_key(context, answer_s):
    async def make():
        context.outages = OutageWorld(answer_s)

    context.run_async(make())


@given("its owner was {what} {count:d} times for {length_s:g} s each")
def step_was(context, what, count, length_s):
    async def run():
        world = context.outages
        for _ in range(count):
            world.take(what)
            await world.ask(0.0001)
            await world.clock.advance(length_s)
            world.give_back()
            await world.clock.advance(1.0)

    context.run_async(run())


@when("its owner is {what} and a gateway request with {left_s:g} s left comes")
def step_is(context, what, left_s):
    async def run():
        context.outages.take(what)
        await context.outages.ask(left_s)

    context.run_async(run())


@when("another gateway request with {left_s:g} s left comes {later_s:g} s later")
def step_another(context, left_s, later_s):
    async def run():
        await context.outages.clock.advance(later_s)
        await context.outages.ask(left_s)

    context.run_async(run())


@when("the key gets another owner that is pending")
def step_other_owner(context):
    async def run():
        world = context.outages
        world.owner = "b"
        world.token += 1
        world.put_table()
        world.tell(True)

    context.run_async(run())


@when("the key is ready again after {later_s:g} s")
def step_ready(context, later_s):
    async def run():
        await context.outages.clock.advance(later_s)
        context.outages.give_back()
        await settle()

    context.run_async(run())


@when("the key is still pending after {later_s:g} s")
def step_still(context, later_s):
    async def run():
        await context.outages.clock.advance(later_s)
        # The queue looks again at the next report of a peer.
        context.outages.tell(True)
        await settle()

    context.run_async(run())


@then("that gateway request waits")
def step_waits(context):
    assert not context.outages.last().done(), context.outages.last()


@then("that gateway request has a place")
def step_placed(context):
    placement = context.outages.last().result()
    assert not isinstance(placement, Refusal), placement


@then("that gateway request is refused")
def step_refused(context):
    assert isinstance(context.outages.last().result(), Refusal)


@then("that gateway request is refused at once and told to come back after {after_s:g} s")
def step_refused_at_once(context, after_s):
    placement = context.outages.last().result()
    assert isinstance(placement, Refusal), placement
    assert abs(placement.retry_after_s - after_s) < 1e-6, placement
