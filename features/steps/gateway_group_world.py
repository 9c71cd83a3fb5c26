"""A gateway's dispatch queue in virtual time before servers that work on their slots."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from random import Random

from gateway_world import make_rate_budget, make_record
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.capacity_tracker import CapacityTracker, in_flight_limit
from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.ownership_tables import OwnershipTables

HALF = KEY_COUNT // 2
KEYS = {"a": 7, "b": HALF + 7}
"""A key of each owner."""


class FixedServers:
    """A list of servers that never changes."""

    def __init__(self, records) -> None:
        self.records = {each.server_id: each for each in records}

    def usable(self, service):
        return list(self.records.values())

    def get(self, server_id):
        return self.records.get(server_id)

    def is_usable(self, server_id):
        return server_id in self.records

    def may_serve_own_keys(self, server_id):
        return self.is_usable(server_id)

    def has_resting(self):
        return False

    def rest_left_s(self, server_id):
        return 0.0

    def rest_left_s_for_many(self, server_id):
        return 0.0


@dataclass
class Asked:
    """One request and what came of it; `waited_s`: until it had a place or was refused."""

    entry: WaitingRequest
    placement: object = None
    waited_s: float = 0.0
    busy_s: float = 0.0

    def is_refused(self):
        return isinstance(self.placement, Refusal)


class GroupWorld:
    """The queue, its servers, and every request by group."""

    def __init__(self, server_ids, slots, service_s, weights, times_s, is_keyed) -> None:
        self.clock = LoopClock()
        records = [make_record(each, Address("h", 1), slots=slots) for each in server_ids]
        self.servers = FixedServers(records)
        self.peers = PeerTable(self.clock)
        self.board = ServerStats(self.peers, self.clock)
        self.tables = OwnershipTables()
        rate_budget = make_rate_budget(self.clock)
        self.queue = DispatchQueue(
            ServerSelector(self.servers, self.board, rate_budget, "z1", Random(1)),
            OwnerLookup(self.tables, self.servers, self.board, self.clock),
            self.board,
            CapacityTracker(self.board, rate_budget),
            self.clock,
        )
        self.service_s, self.weights, self.times_s = service_s, weights, times_s
        self.slots = {each.server_id: asyncio.Semaphore(slots) for each in records}
        self.most = dict.fromkeys(server_ids, 0)
        self.asked = defaultdict(list)
        self.placed = []
        self.version = 0
        self.after_release = lambda: None
        if is_keyed:
            self.own(server_ids[0], server_ids[-1])

    def own(self, first, second, is_told=True) -> None:
        """Give the lower half of the keys to `first`, the upper one to `second`."""
        self.version += 1
        ranges = (
            OwnedRange(0, HALF - 1, first, 2 * self.version),
            OwnedRange(HALF, KEY_COUNT - 1, second, 2 * self.version + 1),
        )
        self.tables.put(OwnershipTable("shop", ranges, 2 * self.version + 1, at(self.version)))
        if is_told:
            self.queue.capacity_changed()

    def report_of_peer(self, number, in_flight) -> None:
        """Another gateway tells that it has so many requests in flight at the first server."""
        board = ServerStats(PeerTable(self.clock), self.clock)
        for _ in range(in_flight):
            board.start(next(iter(self.servers.records.values())))
        report = PeerReport("n2", "b", number, 0, float("inf"), None, board.loads(), (), 0)
        assert self.peers.record_report(report)

    def make_entry(self, group, key, priority, aim_s):
        now_s = self.clock.now()
        return WaitingRequest(
            group=group,
            weight=self.weights.get(group, 1.0),
            service="shop",
            key=key,
            priority=priority,
            tried=frozenset(),
            limit_s=now_s + aim_s,
        )

    async def ask(self, group, key=None, priority=0, aim_s=1.0):
        asked = Asked(self.make_entry(group, key, priority, aim_s))
        self.asked[group].append(asked)
        began_s = self.clock.now()
        asked.placement = await self.queue.place(asked.entry)
        asked.waited_s = self.clock.now() - began_s
        if not asked.is_refused():
            self.placed.append(asked)
            await self.work(asked, asked.placement)
        return asked

    async def work(self, asked, server) -> None:
        name = server.server_id
        started = self.board.start(server)
        self.most[name] = max(self.most[name], self.board.in_flight(name))
        is_served = False
        try:
            async with self.slots[name]:
                busy_s = self.times_s.get(asked.entry.group, self.service_s)
                await asyncio.sleep(busy_s)
                asked.busy_s = busy_s
            is_served = True
        finally:
            self.board.finish(server, started, is_served)
            self.queue.release(asked.entry, started)
            self.after_release()

    async def arrive(self, group, per_second, duration_s, **fields) -> None:
        tasks = []
        for _ in range(int(per_second * duration_s)):
            tasks.append(asyncio.ensure_future(self.ask(group, **fields)))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    def send(self, group, count, **fields):
        return [asyncio.ensure_future(self.ask(group, **fields)) for _ in range(count)]

    def limit(self, server_id):
        return in_flight_limit(self.servers.get(server_id))

    def busy_s(self, group):
        return sum(each.busy_s for each in self.asked[group])

    def assert_empty(self) -> None:
        """Nothing waits, and nothing is remembered of those that are gone."""
        assert sum(self.queue.waiting_by_service().values()) == 0, self.queue.waiting_by_service()
        assert not self.board.own_in_flight(), self.board.own_in_flight()
        assert self.queue._queues.is_empty(), vars(self.queue._queues)
        assert not self.queue._capacity.reserved_count(), vars(self.queue._capacity)
