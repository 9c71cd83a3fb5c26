"""One relay and two members over a store in memory, on loopback."""

import asyncio
from dataclasses import replace

from gateway_world import HOST, LONG_S, ShiftedClock, free_port
from result import Err, Ok
from store_versions import at

from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory, encode_peer
from indigoworks.exchange.peer_server import PeerServer
from indigoworks.relay.feed_server import FeedServer
from indigoworks.relay.relay_selector import RelaySelector
from indigoworks.relay.relayed_store import FEED_PATH, RelayedStore
from indigoworks.rowstore.errors import HistoryGone
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.table_part import UNDIVIDED

TABLE = "t"
ZONE = "z1"


class HeardPeers:
    """Says of every peer when it was heard last."""

    def __init__(self):
        self.heard_s = {}

    def heard_time_s(self, node):
        return self.heard_s.get(node)


class StoreOfRows:
    """Rows of one table; `askers` names who asked for changes, in order."""

    def __init__(self, version):
        self.version = version
        self.era = 0
        self.rows = []
        self.askers = []
        self.changed = asyncio.Event()
        self.asked = asyncio.Condition()

    def newest(self):
        return at(self.version, self.era)

    def put(self, key):
        self.version += 1
        self.rows.append(Row(TABLE, "", key, b"v", self.newest()))
        self.changed.set()

    def come_back(self, version):
        """Lose what was written after `version`; its versions are given out again."""
        self.version = version
        self.era += 1
        kept = [row.version.counter <= version for row in self.rows]
        self.rows = [
            replace(row, version=at(row.version.counter, self.era))
            for row, is_kept in zip(self.rows, kept, strict=True)
            if is_kept
        ]

    async def note_asker(self, node):
        async with self.asked:
            self.askers.append(node)
            self.asked.notify_all()

    async def asked_by(self, node):
        async with self.asked:
            await self.asked.wait_for(lambda: node in self.askers)

    def after(self, version):
        return tuple(row for row in self.rows if row.version > version)


class StorePort:
    """The store as one gateway reaches it."""

    def __init__(self, node, store, health, clock):
        self.node, self.store, self.health, self.clock = node, store, health, clock
        self.is_silent = False

    async def read(self, table, part):
        return Ok(self._answer(self.store.rows))

    async def follow(self, table, after, wait_s):
        await self.store.note_asker(self.node)
        if after.era != self.store.era:
            self.health.eras.record_era(self.store.era)
            return Err(HistoryGone("No such version.", "Read the table whole."))
        while not self.store.after(after) or self.is_silent:
            await self.store.changed.wait()
            await asyncio.sleep(0.001)
        return Ok(self._answer(self.store.after(after)))

    def _answer(self, rows):
        now_s = self.clock.now()
        self.health.eras.record_era(self.store.era)
        self.health.record_response(now_s, now_s)
        return Rows(tuple(rows), self.store.newest(), now_s)


class RelayGateway:
    """The parts of a gateway that follow the store."""

    def __init__(self, node, capacity, address, store):
        self.node, self.capacity, self.address = node, capacity, address
        self.clock = ShiftedClock()
        self.health = StoreHealth(self.clock)
        self.directory = PeerDirectory(node)
        self.peers = HeardPeers()
        self.choice = RelaySelector(
            node,
            ZONE,
            capacity,
            self.directory,
            self.peers,
            lambda: "",
            self.health.lost_for_s,
            self.clock,
        )
        self.port = StorePort(node, store, self.health, self.clock)
        self.relayed = RelayedStore(
            self.port,
            self.health,
            self.choice,
            HttpSender(self.clock, 4),
            frozenset({TABLE}),
            self.clock,
        )
        self.feed = FeedServer(self.relayed, self.choice, self.health, self.clock)
        self.server = PeerServer(address, {FEED_PATH: self.feed.handle})

    def know(self, peer):
        row = Row("c", "", f"peer/{peer.node}", encode_peer(peer), at(1))
        self.directory.apply([row])
        self.peers.heard_s[peer.node] = self.clock.now() + LONG_S


class RelayWorld:
    """Gateways that know each other and enough others to use a relay."""

    def __init__(self, version):
        self.store = StoreOfRows(version)
        self.relay = self._gateway("r", 4.0)
        self.members = {name: self._gateway(name, 1.0) for name in "ab"}
        self.served = []
        everyone = [self.relay, *self.members.values()]
        for gateway in everyone:
            for other in everyone:
                gateway.know(PeerAddress(other.node, "x", ZONE, other.address, other.capacity))
            for number in range(20):
                far = PeerAddress(f"far-{number}", "x", "z2", Address(HOST, 1))
                gateway.know(far)

    def _gateway(self, node, capacity):
        return RelayGateway(node, capacity, Address(HOST, free_port()), self.store)

    async def start(self):
        for gateway in (self.relay, *self.members.values()):
            await gateway.relayed.read(TABLE, UNDIVIDED)
        self.relay.server.start()
        self.watching = asyncio.ensure_future(self.relay.feed.run())
        self.probing = asyncio.ensure_future(self._probe())
        self.following = asyncio.ensure_future(self._follow(self.relay))

    async def _probe(self):
        """Do what the relay's feed of servers does: hear from the store again and again."""
        while True:
            if not self.relay.port.is_silent:
                now_s = self.relay.clock.now()
                self.relay.health.record_response(now_s, now_s)
            await asyncio.sleep(0.02)

    async def _follow(self, gateway):
        version = self.store.newest()
        while True:
            answer = await gateway.relayed.follow(TABLE, version, LONG_S)
            if isinstance(answer, Err):
                answer = await gateway.relayed.read(TABLE, UNDIVIDED)
            version = answer.unwrap().version

    async def let_serve(self, member):
        """Let a member follow the store itself, as after its relay failed, and serve others."""
        member.choice.record_failure(self.relay.node)
        member.server.start()
        self.served.append(member)
        self.store.askers.clear()
        self.member_following = asyncio.ensure_future(self._follow(member))
        await self.store.asked_by(member.node)

    def restart_following(self):
        """Let the relay follow from the version that the store has now."""
        self.following.cancel()
        self.following = asyncio.ensure_future(self._follow(self.relay))

    def member_asks(self, name, version, wait_s):
        return asyncio.ensure_future(self.members[name].relayed.follow(TABLE, version, wait_s))

    def close(self):
        self.probing.cancel()
        self.watching.cancel()
        self.following.cancel()
        self.relay.feed.stop()
        self.relay.server.stop()
        for member in self.served:
            member.server.stop()
            self.member_following.cancel()
