"""A control group in memory: rows whose answers get lost, servers that take every order."""

import asyncio
from random import Random

from result import Err, Ok
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.ownership.challenge_delay import ChallengeDelay
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup, part_of
from indigoworks.ownership.group_leader import GroupLeader
from indigoworks.ownership.group_member import GroupMember
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HoldPolicy
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.ownership.range_keeper import RangeKeeper
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.table_writer import TableWriter
from indigoworks.rowstore.errors import ConditionFailed, StoreUnreachable
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.table_follower import TableFollower
from indigoworks.rowstore.transaction import ABSENT
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord

SERVICE = "shop"
HOLD_MAX_S = 10.0


class LossyRows:
    """Rows in memory; the answer of one write is lost after it was made."""

    def __init__(self, lost_write, health, clock):
        self.rows = {}
        self.written = []
        self.on_put = lambda key: None
        self.version = 0
        self.writes = 0
        self.lost_write = lost_write
        self.is_silent = False
        self.health = health
        self.clock = clock

    def put(self, key, value):
        self.written.append((key, value))
        self.on_put(key)
        self.version += 1
        self.rows[key] = Row(CONTROL_TABLE, part_of(0), key, value, at(self.version))

    def answer(self, rows):
        now_s = self.clock.now()
        true_at_s = self.health.record_response(now_s, now_s)
        return Ok(Rows(tuple(rows), at(self.version), true_at_s))

    async def read(self, table, part):
        return self.answer(self.rows.values())

    async def follow(self, table, after, wait_s):
        await self.clock.sleep(0.02)
        if self.is_silent:
            return Err(StoreUnreachable("No answer.", "Wait."))
        return self.answer([each for each in self.rows.values() if each.version > after])

    async def commit(self, transaction):
        for each in transaction.expected:
            known = self.rows.get(each.key)
            if (ABSENT if known is None else known.version) != each.version:
                return Err(ConditionFailed("A row has changed.", "Read it."))
        for put in transaction.puts:
            self.put(put.key, put.value)
        self.writes += 1
        if self.writes == self.lost_write:
            return Err(StoreUnreachable("No answer.", "Wait."))
        return Ok(at(self.version))


class WillingServers:
    """Servers that take every order; `orders` holds (what, server, order).

    Grants wait while `gate` is closed; the answers of the first `lost_releases` are lost, and that
    of the next grant to `unanswering`.
    """

    def __init__(self):
        self.orders = []
        self.waiting = 0
        self.lost_releases = 0
        self.unanswering = None
        self.gate = asyncio.Event()
        self.gate.set()

    @property
    def connections_opened(self):
        return len(self.orders)

    def add_notice_listener(self, listener):
        self.listener = listener

    async def grant(self, server, grant, timeout_s, may_send):
        self.waiting += 1
        await self.gate.wait()
        self.waiting -= 1
        if not may_send():
            return OrderOutcome(OrderResult.WITHHELD)
        self.orders.append(("grant", server.server_id, grant))
        if self.unanswering == server.server_id:
            self.unanswering = None
            return OrderOutcome(OrderResult.UNANSWERED)
        return OrderOutcome(OrderResult.DONE)

    async def release(self, server, release, timeout_s, may_send):
        self.orders.append(("release", server.server_id, release))
        if self.lost_releases:
            self.lost_releases -= 1
            return OrderOutcome(OrderResult.UNANSWERED)
        return OrderOutcome(OrderResult.DONE, "handed")

    def granted(self, server_id):
        return [order for what, name, order in self.orders if (what, name) == ("grant", server_id)]


class ControlWorld:
    """One member of a control group, wired as a gateway wires it."""

    def __init__(self, lost_write, clock=None):
        self.clock = clock or LoopClock()
        self.health = StoreHealth(self.clock)
        self.store = LossyRows(lost_write, self.health, self.clock)
        self.servers = ServerList(self.health, 1.0, self.clock)
        self.orders = WillingServers()
        self.orders_at_writes = []
        self.store.on_put = lambda key: self.orders_at_writes.append(len(self.orders.orders))
        self.tables = OwnershipTables()
        self.bounds = HoldBounds(self.clock)
        self.peers = PeerTable(self.clock)
        self.directory = PeerDirectory("n1")
        self.group = ControlGroup(self.health.eras)
        self.led = 0
        self.services = [SERVICE]
        self.leadership = Leadership(
            "n1",
            "boot-2",
            self.group,
            self.store,
            self.health,
            self.peers,
            self.directory,
            self.clock,
            ChallengeDelay("n1", 1.0, self.peers, self.directory, Random(1)),
        )
        self.policy = HoldPolicy(self.health, HOLD_MAX_S)
        self.reach = ServerReach(self.clock)
        self.keepers = KeeperSet(self.make_keeper)
        self.member = GroupMember(self.leadership, self.make_leader, self.clock)
        self.follower = TableFollower(
            self.store,
            CONTROL_TABLE,
            lambda: self.group.part,
            lambda: 1.0,
            self.clock,
            self.take_rows,
            self.take_rows,
            self.leadership.record_proof,
        )

    def take_rows(self, rows):
        self.leadership.apply(rows)
        self.tables.apply(rows)

    def list_server(self, name, version, is_draining=False):
        address = Address("127.0.0.1", 1000 + ord(name))
        self.servers.put(
            ServerRecord(name, SERVICE, address, "z", 2, is_draining, 0.0, at(version))
        )

    def make_keeper(self, service, owned):
        return RangeKeeper(
            service,
            owned,
            self.leadership,
            self.orders,
            self.servers,
            self.bounds,
            self.policy,
            self.reach,
            self.clock,
            lambda: None,
        )

    def make_leader(self):
        self.led += 1
        writer = TableWriter(
            self.group,
            self.leadership,
            self.tables,
            self.keepers,
            self.store,
            self.clock,
            lambda: None,
            servers=self.servers,
        )
        return GroupLeader(
            self.leadership,
            self.tables,
            self.keepers,
            self.bounds,
            self.policy,
            self.reach,
            writer,
            self.servers,
            self.peers,
            lambda: self.services,
            lambda server_id: 0.1,
            self.clock,
        )
