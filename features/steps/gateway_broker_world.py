"""Gateways and their broker on virtual time, with a network that can lose datagrams."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random

from gateway_world import make_rate_budget, make_record

from indigoworks.broker.broker_client import BrokerClient
from indigoworks.broker.broker_queue import BrokerQueue
from indigoworks.broker.broker_selector import BrokerSelector
from indigoworks.broker.brokered_queue import BrokeredQueue
from indigoworks.broker.requester import Requester
from indigoworks.broker.slot_broker import SlotBroker
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.connected_servers import no_connected_servers
from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.server_list import ServerList

ZONE = "z1"
SERVICE = "shop"
AIM_S = 0.5
DEADLINE_S = 1.0
LINK_S = 0.001
STRONG = 2
"""Gateways on machines that may be brokers."""

ANSWERED = ServerResponse(ExchangeResult.ANSWERED, 200)


async def accepts(server):
    return True


class Directory:
    """All gateways, by their addresses."""

    def __init__(self, peers, own):
        self.peers = peers
        self.own = own

    def others(self):
        return [each for each in self.peers if each.node != self.own]

    def has_many(self):
        return True

    def has_any(self):
        return True


class Heard:
    """What a gateway hears: everyone who lives."""

    def __init__(self, world):
        self.world = world

    def heard_time_s(self, node):
        gateway = self.world.gateways[node]
        return self.world.clock.now() if gateway.is_up else None

    def in_flight(self, server_id):
        return 0

    def load_age_s(self):
        return 0.0

    def service_s(self, server_id):
        return None


class Gateway:
    """One gateway's broker, client and queue."""

    def __init__(self, world, address, servers, connected=no_connected_servers):
        self.world, self.address, self.is_up = world, address, True
        zone = address.zone
        clock = world.clock
        tables = OwnershipTables()
        heard = Heard(world)
        directory = Directory(world.addresses, address.node)
        self.board = ServerStats(PeerTable(clock), clock)

        def make_queue(zone):
            return BrokerQueue(
                zone,
                servers,
                tables,
                heard,
                lambda server_id: world.reported[server_id],
                make_rate_budget(clock, zone=zone),
                clock,
                Random(1),
            )

        self.broker = SlotBroker(make_queue, clock)
        self.client = BrokerClient(self.send, clock)
        self.choice = BrokerSelector(
            address, lambda: not self.broker.is_stopping, directory, heard, clock
        )
        owners = OwnerLookup(tables, servers, self.board, clock)
        budget = make_rate_budget(clock)
        local = DispatchQueue(
            ServerSelector(servers, self.board, budget, zone, Random(address.node), lambda: True),
            owners,
            self.board,
            CapacityTracker(self.board, budget),
            clock,
        )
        self.queue = BrokeredQueue(
            zone,
            local,
            self.choice,
            self.client,
            servers,
            owners,
            directory,
            budget,
            PathMonitor(tuple, accepts, accepts, clock, Random(1)),
            clock,
            connected,
        )

    def send(self, peer, content):
        self.world.carry(self, self.world.gateways[peer.node], content)

    def take(self, sender, content):
        if isinstance(content, SlotRequest):
            requester = Requester(
                sender.address.boot, lambda reply: self.send(sender.address, reply)
            )
            self.broker.handle_request(requester, content)
        elif hasattr(content, "outcome"):
            self.client.handle_reply(content)
        else:
            self.broker.handle_release(sender.address.boot, content)


@dataclass
class Asked:
    """One request and what came of it."""

    is_urgent: bool
    placement: object = None
    waited_s: float | None = None

    @property
    def is_refused(self):
        return isinstance(self.placement, Refusal)


class BrokerWorld:
    """All gateways, the servers, and every request."""

    def __init__(self, gateway_count, server_count, slots, zones=(ZONE,)):
        self.clock = LoopClock()
        self.random = Random(7)
        self.lost_every = 0
        self.sent = 0
        self.reported = Counter()
        self.in_flight = Counter()
        self.most = Counter()
        self.asked = []
        self.tasks = []
        servers = ServerList(StoreHealth(self.clock), 1.0, self.clock)
        for number in range(server_count):
            zone = zones[number % len(zones)]
            servers.put(
                make_record(f"s{number}", self.server_address(number), slots=slots, zone=zone)
            )
        self.addresses = [
            PeerAddress(
                f"n{number}",
                f"b{number}",
                zones[number % len(zones)],
                Address("h", number),
                float(number < STRONG * len(zones)),
            )
            for number in range(gateway_count)
        ]
        self.gateways = {}
        for address in self.addresses:
            self.gateways[address.node] = self.make_gateway(address, servers)

    def make_gateway(self, address, servers):
        return Gateway(self, address, servers)

    def server_address(self, number):
        return Address("h", 1)

    def start(self):
        for each in self.gateways.values():
            self.spawn(each.broker.run())

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    def carry(self, sender, receiver, content):
        self.sent += 1
        is_lost = self.lost_every and sender is not receiver and not self.sent % self.lost_every
        if sender.is_up and not is_lost:
            self.spawn(self.deliver(sender, receiver, content))

    async def deliver(self, sender, receiver, content):
        if sender is not receiver:
            await self.clock.sleep(LINK_S)
        if receiver.is_up:
            receiver.take(sender, content)

    # ---- requests ----

    def acting(self):
        """Return the gateway that living ones ask."""
        requester = next(
            each for each in self.gateways.values() if each.is_up and not each.address.capacity
        )
        return self.gateways[requester.choice.broker(SERVICE, ZONE).node]

    async def request(self, gateway, asked, work_s, is_lost=False):
        now_s = self.clock.now()
        entry = WaitingRequest(
            group="g",
            weight=1.0,
            service=SERVICE,
            key=None,
            priority=0 if asked.is_urgent else 1,
            tried=frozenset(),
            limit_s=now_s + AIM_S,
            deadline_s=now_s + DEADLINE_S,
        )
        self.asked.append(asked)
        asked.placement = await gateway.queue.place(entry)
        asked.waited_s = self.clock.now() - now_s
        if asked.is_refused:
            return
        server = asked.placement
        started = gateway.board.start(server)
        self.in_flight[server.server_id] += 1
        self.most[server.server_id] = max(
            self.most[server.server_id], self.in_flight[server.server_id]
        )
        await self.clock.sleep(work_s)
        self.in_flight[server.server_id] -= 1
        gateway.board.finish(server, started, True)
        if not is_lost:
            gateway.queue.release(entry, started, ANSWERED)

    async def requests(self, count, duration_s, work_s, is_urgent=False):
        weak = [each for each in self.gateways.values() if not each.address.capacity]
        for _ in range(count):
            gateway = self.random.choice(weak)
            self.spawn(self.request(gateway, Asked(is_urgent), work_s))
            await self.clock.sleep(duration_s / count)

    def lose(self, gateway):
        gateway.is_up = False
