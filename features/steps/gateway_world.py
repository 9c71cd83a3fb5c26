"""The path of a request through a gateway on loopback, with scripted servers behind it."""

import asyncio
from random import Random

from gateway_scripted_server import NAMES, ScriptedServer
from platform_folder_store_stand_in import FOLDER  # noqa: F401
from tornado.testing import bind_unused_port

# isort: split
from server_notice_reader import read_server_notice
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.common.logging.line_rate_limiter import LineRateLimiter
from indigoworks.common.metrics import Metrics
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.connect_tester import ConnectTester
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.request_subsystem import RequestSubsystem
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.routes.caller_limits import CallerLimits
from indigoworks.routes.configuration import Configuration
from indigoworks.routes.route import Route, WeightedService
from indigoworks.routes.service import Service
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.cold_servers import ColdServers
from indigoworks.servers.server_limits import ServerLimits
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.zone_evacuations import ZoneEvacuations

HOST = "127.0.0.1"
ZONE = "z1"
LONG_S = 300.0
"""Longer than any step may take: what ends before has another cause than a time-out."""


class ShiftedClock(LoopClock):
    """The loop's clock, which a scenario can move ahead."""

    def __init__(self) -> None:
        self.shift_s = 0.0

    def now(self) -> float:
        return super().now() + self.shift_s


def free_port() -> int:
    listener, port = bind_unused_port()
    listener.close()
    return port


def make_route(name="r", prefix="/a/", services=("shop",), host="shop.example", **fields) -> Route:
    values = {
        "is_repeatable": True,
        "timeout_s": LONG_S,
        "aim_s": LONG_S / 2,
        "max_attempts": 3,
        "priority": 0,
        **fields,
    }
    weighted = tuple(
        each if isinstance(each, WeightedService) else WeightedService(each, 1) for each in services
    )
    return Route(name=name, host=host, path_prefix=prefix, services=weighted, **values)


def make_service(name="shop", is_keyed=False) -> Service:
    return Service(name, is_keyed, 0, 0.0, "/health")


def make_configuration(version, *routes, services=(), limits=None) -> Configuration:
    known = services or (make_service(),)
    by_name = {each.name: each for each in known}
    return Configuration(version, routes, by_name, limits or CallerLimits())


def make_record(server_id, address, version=1, service="shop", **fields) -> ServerRecord:
    values = {"zone": ZONE, "slots": 4, "is_draining": False, "warm_up_left_s": 0.0, **fields}
    return ServerRecord(
        server_id=server_id, service=service, address=address, version=at(version), **values
    )


def make_settings(**fields) -> GatewaySettings:
    here = Address(HOST, 1)
    values = {
        "node": "n1",
        "zone": ZONE,
        "front_address": here,
        "readiness_address": here,
        "peer_address": here,
        "metrics_address": here,
        "store_address": here,
        "server_heartbeat_s": 1.0,
        "drain_s": 2.0,
        "stop_grace_s": 6.0,
        "hold_max_s": 10.0,
        "retry_ratio": 1.0,
        "retry_window_s": 10.0,
        "retry_slack": 100.0,
        **fields,
    }
    return GatewaySettings(**values)


def make_ports(health: StoreHealth, **fields) -> PlatformPorts:
    values = {
        "names": NAMES,
        "store": None,
        "health": health,
        "orders": None,
        "configuration_table": "op",
        "configuration_key": "config",
        "servers_table": "servers",
        "readiness_path": "/readiness",
        "read_configuration": None,
        "read_server": None,
        "read_evacuated_zone": lambda key: None,
        "read_server_load": lambda text: None,
        "read_server_notice": read_server_notice,
        **fields,
    }
    return PlatformPorts(**values)


def make_rate_budget(clock, cold=None, zone=None, is_keyed=False, limits=None) -> ServerRateLimiter:
    """Make the budget of a broker of a zone's servers, or of a gateway that is none."""
    known = cold or ColdServers(ZoneEvacuations(clock), clock)
    return ServerRateLimiter(known, limits or ServerLimits(clock), lambda _: is_keyed, clock, zone)


class GatewayWorld:
    """A gateway's request side; the scenario puts configuration, servers and owners in force."""

    def __init__(self, capacity=1.0, **settings) -> None:
        self.clock = ShiftedClock()
        self.address = Address(HOST, free_port())
        self.settings = make_settings(front_address=self.address, **settings)
        self.health = StoreHealth(self.clock)
        ports = make_ports(self.health)
        self.platform = PlatformSubsystem(ports, self.settings, self.clock)
        self.tables = OwnershipTables()
        self.peers = PeerTable(self.clock)
        self.directory = PeerDirectory(self.settings.node)
        self.reach = ReachSubsystem(
            self.settings.node,
            "b",
            self.platform.servers,
            self.directory,
            ConnectTester().can_connect,
            ConnectTester().can_open,
            self.clock,
            Random(2),
        )
        self.metrics = Metrics()
        self.side = RequestSubsystem(
            self.settings,
            ports,
            self.platform,
            self.reach,
            self.tables,
            self.peers,
            self.directory,
            self.metrics,
            LineRateLimiter(self.clock),
            self.clock,
            Random(1),
            PeerAddress(self.settings.node, "b", ZONE, self.settings.peer_address, capacity),
        )
        self.route_fields: dict[str, object] = {}
        self.services = ()
        self.servers: dict[str, ScriptedServer] = {}
        self.next_id = 0

    def configure(self, **fields) -> None:
        self.route_fields.update(fields)
        known = self.platform.configurations.current()
        version = 1 if known is None else known.version + 1
        route = make_route(**self.route_fields)
        self.platform.configurations.put_in_force(
            make_configuration(version, route, services=self.services)
        )

    async def add_server(self, server_id, behaviours, **fields) -> ScriptedServer:
        server = ScriptedServer(behaviours)
        address = await server.start()
        server.pass_time = self._pass_time
        self.servers[server_id] = server
        self.platform.servers.put(make_record(server_id, address, **fields))
        return server

    async def put_server(self, record: ServerRecord) -> None:
        self.platform.servers.put(record)

    def requests(self):
        """Return what all servers received."""
        return [each for server in self.servers.values() for each in server.requests]

    def _pass_time(self, duration_s: float) -> None:
        self.clock.shift_s += duration_s


class Caller:
    """A caller's connection."""

    def __init__(self, world: GatewayWorld) -> None:
        self._world = world

    async def open(self, from_host=HOST) -> "Caller":
        address = self._world.address
        self.reader, self.writer = await asyncio.open_connection(
            address.host, address.port, local_addr=(from_host, 0)
        )
        return self

    def send(self, method="GET", target="/a/x", headers=(), body=b"", host="shop.example") -> str:
        self._world.next_id += 1
        request_id = f"try-{self._world.next_id}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", *headers]
        lines.append(f"{NAMES.request_id}: {request_id}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join((*lines, "", "")).encode() + body)
        return request_id

    async def receive(self) -> "Received":
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = [tuple(line.split(": ", 1)) for line in lines]
        received = Received(int(first.split(" ")[1]), headers, b"")
        length = int(received.header("Content-Length") or 0)
        received.body = await self.reader.readexactly(length)
        return received

    async def ask(self, **fields) -> "Received":
        request_id = self.send(**fields)
        received = await self.receive()
        assert received.header(NAMES.request_id) == request_id, received.headers
        return received

    def close(self) -> None:
        self.writer.close()


class Received:
    """An answer as a caller got it."""

    def __init__(self, status, headers, body) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name):
        found = [value for known, value in self.headers if known.lower() == name.lower()]
        return found[0] if found else None

    def __repr__(self) -> str:
        return f"{self.status} {self.headers} {self.body[:80]!r}"


async def ask(world: GatewayWorld, from_host=HOST, **fields) -> Received:
    caller = await Caller(world).open(from_host)
    try:
        return await caller.ask(**fields)
    finally:
        caller.close()


async def until(condition) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.005)
