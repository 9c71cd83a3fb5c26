"""One whole gateway on loopback: rows in memory, servers that take every order."""

import asyncio
import json

from gateway_control_world import LossyRows, WillingServers
from gateway_scripted_server import ScriptedServer
from gateway_world import (
    HOST,
    GatewayWorld,
    free_port,
    make_configuration,
    make_ports,
    make_record,
    make_route,
    make_service,
    make_settings,
)
from prometheus_client.parser import text_string_to_metric_families
from result import Ok
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.common.logging.line_rate_limiter import LineRateLimiter
from indigoworks.gateway.active_settings import ActiveSettings
from indigoworks.gateway.gateway import Gateway
from indigoworks.gateway.gateway_settings import MS_PER_S, load_gateway_settings
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_health import StoreHealth

KEYED = "book"
SERVICES = (make_service(), make_service(KEYED, is_keyed=True))


class TableRows(LossyRows):
    """Rows of several tables."""

    def put_in(self, table, key, value):
        self.version += 1
        self.rows[table, key] = Row(table, "", key, value, at(self.version))

    async def read(self, table, part):
        return self.answer(each for each in self.rows.values() if each.table == table)

    async def follow(self, table, after, wait_s):
        await self.clock.sleep(0.02)
        rows = [each for each in self.rows.values() if each.table == table]
        return self.answer(each for each in rows if each.version > after)


def local_address() -> Address:
    return Address(HOST, free_port())


def settings_document(settings):
    """Return what a file of these settings says."""
    addresses = ("front_address", "readiness_address", "store_address")
    times = ("server_heartbeat", "drain", "hold_max")
    same = ("node", "zone", "stop_grace_s", "retry_ratio", "retry_window_s", "retry_slack")
    return {
        **{each: str(getattr(settings, each)) for each in addresses},
        **{f"{each}_ms": getattr(settings, f"{each}_s") * MS_PER_S for each in times},
        **{each: getattr(settings, each) for each in same},
        "peer_host": settings.peer_address.host,
        "peer_port": settings.peer_address.port,
        "metrics_port": settings.metrics_address.port,
    }


def read_server(row):
    fields = json.loads(row.value)
    address = Address(HOST, fields.pop("port"))
    return Ok(make_record(row.key, address, row.version.counter, **fields))


class ProcessWorld(GatewayWorld):
    """`settings` and callers as in GatewayWorld; configuration and servers come from rows."""

    def __init__(self, lost_write=0, **settings) -> None:
        self.clock = LoopClock()
        self.address = local_address()
        self.settings = make_settings(
            front_address=self.address,
            readiness_address=local_address(),
            peer_address=local_address(),
            metrics_address=local_address(),
            **settings,
        )
        health = StoreHealth(self.clock)
        self.store = TableRows(lost_write, health, self.clock)
        self.ports = make_ports(
            health,
            store=self.store,
            orders=WillingServers(),
            read_configuration=self._read_configuration,
            read_server=read_server,
        )
        self.rates = LineRateLimiter(self.clock)
        self.servers = {}
        self.next_id = 0
        self.configure(1)
        self.settings_path = ""

    def load_settings(self):
        return load_gateway_settings(self.settings_path)

    async def start(self) -> None:
        self.in_force = ActiveSettings(self.settings, self.load_settings)
        self.gateway = Gateway(self.in_force, self.ports, self.rates)
        self.running = asyncio.ensure_future(self.gateway.run())
        while await self.get("/readiness", self.settings.readiness_address) is None:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    def configure(self, version) -> None:
        self.store.put_in("op", "config", str(version).encode())

    async def add_server(self, server_id, behaviours, **fields) -> None:
        server = ScriptedServer(behaviours)
        address = await server.start()
        self.servers[server_id] = server
        self.list_server(server_id, port=address.port, **fields)

    def list_server(self, server_id, **fields) -> None:
        self.store.put_in("servers", server_id, json.dumps(fields).encode())

    async def get(self, path, address) -> bytes | None:
        """Return the body of an answer of status 200; None: there is none."""
        try:
            reader, writer = await asyncio.open_connection(address.host, address.port)
        except OSError:
            return None
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return body if b" 200 " in head.splitlines()[0] else None

    async def families(self) -> dict[str, str]:
        """Return the families of the page of metrics with their kinds."""
        page = (await self.get("/metrics", self.settings.metrics_address)).decode()
        return {each.name: each.type for each in text_string_to_metric_families(page)}

    async def metric(self, name, **labels) -> float:
        """Return one value of the page of metrics; 0.0 where it has none."""
        page = (await self.get("/metrics", self.settings.metrics_address)).decode()
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                if sample.name == name and sample.labels == labels:
                    return sample.value
        return 0.0

    def _read_configuration(self, value):
        keyed = make_route("k", "/k/", (KEYED,))
        unsafe = make_route("u", "/unsafe/", is_repeatable=False)
        return Ok(make_configuration(int(value), make_route(), keyed, unsafe, services=SERVICES))
