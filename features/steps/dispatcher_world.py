"""Gateways of a large group on loopback, some of which are real, with scripted servers behind."""

import asyncio

from gateway_scripted_server import NAMES
from gateway_world import HOST, ZONE, GatewayWorld, ask, free_port, make_service
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_server import PeerServer
from indigoworks.forwarding.forward_client import FORWARD_PATH
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.rowstore.row import Row

SERVICE = "shop"
LARGE, SMALL = 17, 16
HEARD_PERIOD_S = 0.05
STRONG, WEAK = 2.0, 0.5
LAST_KEY = 999


class DispatcherWorld:
    """Three real gateways: "weak", where callers come, and the candidates "d1" and "d2".

    :ivar silent: gateways that the others do not hear.
    """

    def __init__(self, size=LARGE) -> None:
        self.silent = set()
        self.addresses = {}
        self.gateways = {}
        self.listeners = {}
        self._sequence = 0
        self._asking = []
        for name, capacity in (("weak", WEAK), ("d1", STRONG), ("d2", STRONG)):
            address = Address(HOST, free_port())
            self.addresses[name] = PeerAddress(name, "b", ZONE, address, capacity)
            gateway = self.gateways[name] = GatewayWorld(capacity, node=name, peer_address=address)
            # Ports that were found free are bound at once: others look for free ones too.
            handlers = {FORWARD_PATH: gateway.side.forward_server.handle}
            self.listeners[name] = PeerServer(address, handlers)
            self.listeners[name].start()
            gateway.side.front.start()
        for number in range(size - len(self.addresses)):
            name = f"other{number}"
            self.addresses[name] = PeerAddress(name, "b", ZONE, Address(HOST, 1), WEAK)
            self.silent.add(name)
        rows = [
            Row("t", "p", PEER_PREFIX + name, encode_peer(each), at(1))
            for name, each in self.addresses.items()
        ]
        for gateway in self.gateways.values():
            gateway.services = (make_service(is_keyed=True),)
            gateway.directory.apply(rows)
            gateway.configure(aim_s=2.0, timeout_s=4.0)
        self.hear_all()
        self.keep_hearing()

    async def add_server(self, server_id, behaviours, slots=2):
        """Add a server that all gateways list."""
        weak = self.gateways["weak"]
        server = await weak.add_server(server_id, behaviours, slots=slots)
        record = weak.platform.servers.get(server_id)
        for gateway in self.gateways.values():
            gateway.platform.servers.put(record)
        return server

    def set_owner(self, server_id, token) -> None:
        """Make a server the owner of all keys, at all gateways."""
        for gateway in self.gateways.values():
            ranges = (OwnedRange(0, LAST_KEY, server_id, token),)
            gateway.tables.put(OwnershipTable(SERVICE, ranges, token, at(token)))
            gateway.side.queue.capacity_changed()

    def hear_all(self) -> None:
        """Let each gateway hear all others that are not silent."""
        self._sequence += 1
        for name, gateway in self.gateways.items():
            for other in self.addresses:
                if other != name and other not in self.silent:
                    self.hear(gateway, other)

    def keep_hearing(self) -> None:
        """Let gateways hear each other until `hearing` is cancelled."""
        self.hearing = asyncio.ensure_future(self._keep_hearing())

    def hear(self, gateway, other) -> None:
        loads = ()
        if other in self.gateways:
            loads = self.gateways[other].side.server_stats.loads()
        report = PeerReport(other, "b", self._sequence, 0, float("inf"), None, loads, (), 0)
        gateway.peers.record_report(report)

    def dispatcher_of(self, server_id):
        """Return the name of the gateway that "weak" selects for a server."""
        selector = self.gateways["weak"].side.dispatchers.selector
        return selector.dispatcher(server_id, ZONE).node

    def other_than(self, name):
        """Return the name of the other candidate."""
        return "d2" if name == "d1" else "d1"

    async def ask(self, name="weak", key=7, **fields):
        """Send a request of a caller to a gateway."""
        return await ask(self.gateways[name], headers=(f"{NAMES.key}: {key}",), **fields)

    def start_asking(self, name="weak", key=7, **fields):
        asking = asyncio.ensure_future(self.ask(name, key, **fields))
        # The loop itself keeps weak references only.
        self._asking.append(asking)
        return asking

    def dispatched(self, name="weak"):
        """Return how many requests a gateway passed to dispatchers, by result."""
        counters = {each.name: each for each in self.gateways[name].metrics.counters}
        values = counters["gateway_dispatched"].values
        return {result: count for (_, result), count in values.items()}

    async def _keep_hearing(self) -> None:
        while True:
            await asyncio.sleep(HEARD_PERIOD_S)
            self.hear_all()
