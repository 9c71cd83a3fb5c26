"""Gateways that exchange reports over links in memory, on a clock that only the world moves."""

import heapq
from itertools import count
from random import Random

from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.hub_selector import HubSelector
from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_sender import ReportSender, ReportSource
from indigoworks.exchange.server_load import ServerLoad, server_checksum
from indigoworks.ownership.leader_liveness import LeaderLiveness
from indigoworks.rowstore.row import Row

SERVERS = ("s1", "s2", "s3", "s4")
STRONG_PER_ZONE = 2
STRONG, WEAK = 2.0, 0.0
LATENCY_S = 0.002


class WorldClock:
    """Stands still until the world moves it."""

    def __init__(self):
        self.now_s = 100.0

    def now(self):
        return self.now_s


class HubNode:
    """One life of a gateway's exchange; `loads` are its requests in flight by server."""

    def __init__(self, world, name, zone, capacity, boot):
        self.world, self.name, self.zone, self.boot = world, name, zone, boot
        self.is_frozen, self.held = False, []
        self.sequence, self.epoch, self.leads = 0, 1, name == world.leader
        self.loads = {each: world.random.randint(0, 3) for each in SERVERS}
        self.samples, self.leader_known = (), world.leader
        self.table = PeerTable(world.clock, name)
        self.directory = PeerDirectory(name)
        self.signs = LeaderLiveness(self.table, self.directory, world.clock)
        self.address = Address(name, 1)
        self.choice = HubSelector(
            name, zone, capacity, self.directory, self.table, self.leader_node, world.clock
        )
        source = ReportSource(self.make, lambda: True, self.signs.record_report, self.leader_node)
        self.sender = ReportSender(
            zone, self.directory, self.table, self.choice, source, self.transmit
        )
        self.row = PeerAddress(name, boot, zone, self.address, capacity)

    def leader_node(self):
        return self.leader_known

    def make(self):
        self.sequence += 1
        samples, self.samples = self.samples, ()
        self.table.add_samples(samples)
        loads = tuple(
            ServerLoad(server_checksum(each), number, 0.1)
            for each, number in self.loads.items()
            if number
        )
        beat = LeaderBeat(self.epoch, 0.0, 3.0, ()) if self.leads else None
        age_s = self.signs.beat_age_s(self.epoch)
        return PeerReport(
            self.name, self.boot, self.sequence, self.epoch, age_s, beat, loads, samples, 0
        )

    def transmit(self, datagram, address):
        self.world.transmit(self, datagram, address.host)

    def take(self, datagram):
        if self.is_frozen:
            self.held.append(datagram)
        else:
            self.sender.handle_datagram(datagram)

    def tick(self):
        if self.world.nodes.get(self.name) is not self:
            return
        if not self.is_frozen:
            self.sender.send_if_due()
        self.world.at(self.sender.period_s(), self.tick)

    def thaw(self):
        self.is_frozen = False
        held, self.held = self.held, []
        for each in held:
            self.sender.handle_datagram(each)


class HubWorld:
    """Nodes by name; `is_cut(source, target)` tells which links carry nothing."""

    def __init__(self, gateways, zones, seed, loss=0.0):
        self.random, self.clock = Random(seed), WorldClock()
        self.events, self.order = [], count()
        self.nodes, self.sent, self.loss = {}, 0, loss
        self.is_cut = lambda source, target: False
        self.leader = f"z{zones}-9"
        for number in range(gateways):
            zone, place = f"z{number % zones + 1}", number // zones + 1
            self.start(f"{zone}-{place}", zone, STRONG if place <= STRONG_PER_ZONE else WEAK)
        self.leader_starts_known()

    def leader_starts_known(self):
        if self.leader not in self.nodes:
            self.leader = min(each for each in self.nodes if self.nodes[each].zone == "z1")
            self.nodes[self.leader].leads = True
            self.follow(self.leader)

    def follow(self, leader):
        for node in self.nodes.values():
            node.leader_known = leader

    def start(self, name, zone, capacity, boot="b1"):
        node = self.nodes[name] = HubNode(self, name, zone, capacity, boot)
        version = next(self.order) + 1
        for other in self.nodes.values():
            for row in (node.row, other.row):
                for target in (node, other):
                    key = PEER_PREFIX + row.node
                    target.directory.apply([Row("t", "", key, encode_peer(row), at(version))])
        self.at(self.random.uniform(0.0, 0.1), node.tick)
        return node

    # ---- time ----

    def at(self, delay_s, call):
        heapq.heappush(self.events, (self.clock.now_s + delay_s, next(self.order), call))

    def run(self, duration_s, check=None):
        end_s = self.clock.now_s + duration_s
        next_check_s = self.clock.now_s
        while self.events and self.events[0][0] <= end_s:
            at_s, _, call = heapq.heappop(self.events)
            if check is not None and at_s > next_check_s:
                check()
                next_check_s = at_s + 0.02
            self.clock.now_s = max(self.clock.now_s, at_s)
            call()
        self.clock.now_s = end_s

    def transmit(self, source, datagram, target):
        self.sent += 1
        if self.is_cut(source.name, target) or self.random.random() < self.loss:
            return
        receiver = self.nodes.get(target)
        if receiver is not None:
            self.at(LATENCY_S, lambda: receiver.take(datagram))

    # ---- questions ----

    def awake(self):
        return [each for each in self.nodes.values() if not each.is_frozen]

    def hub(self, zone):
        hubs = [each for each in self.awake() if each.zone == zone and each.table.has_members()]
        assert len(hubs) == 1, [each.name for each in hubs]
        return hubs[0]

    def members(self, zone):
        return [each for each in self.awake() if each.zone == zone and each.choice.is_settled()]

    def differences(self, unsure=None):
        """Return (node, server, counted, least, most) wherever a node counts others wrongly.

        :param unsure: a node that only some can hear: it may be counted or not, and is not asked.
        """
        nodes = [each for each in self.awake() if each is not unsure]
        found = []
        for server in SERVERS:
            total = sum(each.loads[server] for each in nodes)
            spare = 0 if unsure is None else unsure.loads[server]
            for node in nodes:
                least = total - node.loads[server]
                counted = node.table.in_flight(server)
                if not least <= counted <= least + spare:
                    found.append((node.name, server, counted, least, least + spare))
        return found

    def sample_all(self):
        for number, node in enumerate(sorted(self.nodes.values(), key=lambda each: each.name)):
            node.samples = (KeySample("shop", (number,), 1),)
