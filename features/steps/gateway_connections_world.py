"""A large group that sends requests over pooled connections to servers of uneven speeds."""

from collections import Counter
from random import Random
from types import SimpleNamespace

from gateway_broker_world import AIM_S, DEADLINE_S, LINK_S, SERVICE, BrokerWorld, Gateway
from header_names import HEADER_NAMES
from tornado.httputil import HTTPHeaders

from indigoworks.common.address import Address
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.connected_servers import no_connected_servers
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.request_sender import RequestSender
from indigoworks.gateway.server_response import ExchangeResult
from indigoworks.gateway.waiting_request import WaitingRequest

ZONES = ("za", "zb", "zc")
SLOW, FAST = 0.5, 1.5
SERVER_CLOSES_S = 10.0
"""A server closes an idle connection after this time."""


class IdleConnection:
    """A connection to one server of the world; implements what a pool and a sender use."""

    was_refused = False
    opened_s = 0.0

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.is_open = False
        self.used_s = world.clock.now()

    async def connect(self, timeout_s):
        await self.world.clock.sleep(LINK_S)
        self.is_open = True
        self.used_s = self.world.clock.now()
        return True

    @property
    def is_reusable(self):
        return self.is_open and self.world.clock.now() - self.used_s < SERVER_CLOSES_S

    def watch_while_idle(self):
        pass

    def abort(self):
        self.is_open = False

    async def exchange(self, method, target, headers, body, request_id):
        await self.world.work(self.address.port)
        self.used_s = self.world.clock.now()
        return SimpleNamespace(
            status=200, headers=HTTPHeaders(), body=b"", keep_alive_s=None, share=None
        )


class ConnectedGateway(Gateway):
    """A gateway with pools of connections."""

    def __init__(self, world, address, servers):
        self.sender = RequestSender(
            HEADER_NAMES,
            world.clock,
            open_connection=lambda server, id_header: IdleConnection(world, server),
        )
        named = self.sender.connected_servers if world.names_servers else no_connected_servers
        super().__init__(world, address, servers, named)


class ConnectionsWorld(BrokerWorld):
    """All requests of one run; the same draws with and without named servers.

    :ivar waits_s: time until each request got its slot.
    :ivar times_s: time until each answer.
    """

    def __init__(self, gateways, servers, slots, mean_s, names_servers):
        self.names_servers = names_servers
        self.mean_s = mean_s
        self.works = Random(11)
        self.arrivals = Random(12)
        speeds = Random(13)
        self.speeds = [speeds.uniform(SLOW, FAST) for _ in range(servers)]
        self.waits_s, self.times_s = [], []
        self.refused = 0
        self.busy = Counter()
        super().__init__(gateways, servers, slots, ZONES)

    def make_gateway(self, address, servers):
        return ConnectedGateway(self, address, servers)

    def server_address(self, number):
        return Address("h", number)

    async def work(self, number):
        self.busy[number] += 1
        self.most[number] = max(self.most[number], self.busy[number])
        await self.clock.sleep(self.mean_s * self.works.uniform(0.5, 1.5) / self.speeds[number])
        self.busy[number] -= 1

    async def serve(self, gateway):
        began_s = self.clock.now()
        entry = WaitingRequest(
            group="g",
            weight=1.0,
            service=SERVICE,
            key=None,
            priority=0,
            tried=frozenset(),
            limit_s=began_s + AIM_S,
            deadline_s=began_s + DEADLINE_S,
        )
        server = await gateway.queue.place(entry)
        if isinstance(server, Refusal):
            self.refused += 1
            return
        self.waits_s.append(self.clock.now() - began_s)
        started = gateway.board.start(server)
        number = f"r{len(self.waits_s)}"
        request = ClientRequest(number, "GET", "h", "/", (), b"", None, None, began_s)
        answer = await gateway.sender.send(request, server, began_s + DEADLINE_S)
        gateway.board.finish(server, started, answer.result is ExchangeResult.ANSWERED)
        gateway.queue.release(entry, started, answer)
        self.times_s.append(self.clock.now() - began_s)

    async def play(self, per_s, duration_s):
        """Let requests arrive at random times and gateways; returns when all have ended."""
        for each in self.gateways.values():
            self.spawn(each.broker.run())
        until_s = self.clock.now() + duration_s
        names = sorted(self.gateways)
        running = []
        while self.clock.now() < until_s:
            gateway = self.gateways[self.arrivals.choice(names)]
            running.append(self.spawn(self.serve(gateway)))
            await self.clock.sleep(self.arrivals.expovariate(per_s))
        for each in running:
            await each

    @property
    def opened(self):
        return sum(each.sender.connections_opened for each in self.gateways.values())
