"""Builds a gateway of a crash simulation with its configuration."""

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.routes.caller_limits import CallerLimits
from indigoworks.routes.configuration import Configuration
from indigoworks.routes.route import Route, WeightedService
from indigoworks.routes.service import Service
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks_lab.control_simulation.server_entry import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVERS_TABLE,
    read_configuration,
    read_evacuated_zone,
    read_server,
)
from indigoworks_lab.crash_simulation.crash_gateway import (
    CrashGateway,
    OpenConnection,
    Send,
    SendToBroker,
)
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.group_store import GroupStore
from indigoworks_lab.crash_simulation.no_orders import NoOrders
from indigoworks_lab.crash_simulation.simulated_names import NAMES, read_simulated_notice

ZONES = ("z1", "z2", "z3")
HOST = "shop.example"
TIMEOUT_S = 1.0
AIM_S = 0.5
MAX_ATTEMPTS = 3
RETRY_RATIO, RETRY_WINDOW_S, RETRY_SLACK = 0.2, 10.0, 56.0


def zone_of(number: int) -> str:
    """Return the zone of the machine of that number."""
    return ZONES[number % len(ZONES)]


def build_gateway(
    shape: CrashShape,
    store: GroupStore,
    address: PeerAddress,
    tables: OwnershipTables,
    open_connection: OpenConnection,
    send: Send,
    send_to_broker: SendToBroker,
) -> CrashGateway:
    """Return a gateway that knows its configuration, and no server yet."""
    settings = _settings(address.node, address.zone)
    ports = _ports(store)
    to_broker = send_to_broker if shape.has_brokers else None
    gateway = CrashGateway(settings, ports, address, tables, open_connection, send, to_broker)
    gateway.platform.configurations.put_in_force(_configuration(shape))
    return gateway


def _settings(node: str, zone: str) -> GatewaySettings:
    here = Address(node, 1)
    return GatewaySettings(
        node=node,
        zone=zone,
        front_address=here,
        readiness_address=here,
        peer_address=here,
        metrics_address=here,
        store_address=here,
        server_heartbeat_s=1.3,
        drain_s=2.0,
        stop_grace_s=6.0,
        hold_max_s=10.0,
        retry_ratio=RETRY_RATIO,
        retry_window_s=RETRY_WINDOW_S,
        retry_slack=RETRY_SLACK,
    )


def _ports(store: GroupStore) -> PlatformPorts:
    clock = LoopClock()
    health = StoreHealth(clock)
    # The store's clock is that of the simulation.
    health.record_response(clock.now(), clock.now())
    return PlatformPorts(
        names=NAMES,
        store=store,
        health=health,
        orders=NoOrders(),
        configuration_table=CONFIGURATION_TABLE,
        configuration_key=CONFIGURATION_KEY,
        servers_table=SERVERS_TABLE,
        readiness_path="",
        read_configuration=read_configuration,
        read_server=read_server,
        read_evacuated_zone=read_evacuated_zone,
        read_server_load=lambda text: None,
        read_server_notice=read_simulated_notice,
    )


def _configuration(shape: CrashShape) -> Configuration:
    services = {
        name: Service(name, is_keyed, 0, 0.0, "/health") for name, is_keyed in shape.services
    }
    routes = tuple(
        Route(
            name=name,
            host=HOST,
            path_prefix=f"/{name}/",
            is_repeatable=True,
            timeout_s=TIMEOUT_S,
            aim_s=AIM_S,
            max_attempts=MAX_ATTEMPTS,
            priority=0,
            services=(WeightedService(name, 1),),
        )
        for name in services
    )
    return Configuration(1, routes, services, CallerLimits())
