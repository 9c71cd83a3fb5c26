"""What a soak writes into the store and into settings files."""

import json
from collections.abc import Sequence
from typing import Any, Protocol

from indigoworks.common.address import Address
from indigoworks_lab.gateway_soak.soak_caller import HOST_NAME

SERVICE = "shop"
MS_PER_S = 1000.0
ROUTE_TIMEOUT_S = 9.0
AIM_S = 8.0
MAX_ATTEMPTS = 2
DRAIN_S = 2.0
HEARTBEAT_S = 1.5


class SettledGateway(Protocol):
    """What the settings of a gateway name of it."""

    name: str
    address: Address
    readiness: Address
    peer_port: int
    metrics_port: int


def route(name: str, prefix: str, kind: str, host: str = HOST_NAME) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "kind": kind,
        "service": SERVICE,
        "timeout_ms": ROUTE_TIMEOUT_S * MS_PER_S,
        "aim_ms": AIM_S * MS_PER_S,
        "max_attempts": MAX_ATTEMPTS,
    }


def configuration(
    version: int,
    versions: Sequence[int],
    fillers: int,
    idle_timeout_s: float,
    max_body_bytes: int,
) -> bytes:
    """Return the value of the configuration's row; `versions` are those that added routes."""
    routes = [
        route(f"{kind}{each}", f"/{kind}{each}/", kind)
        for each in versions
        for kind in ("safe", "unsafe")
    ]
    routes += [
        route(f"f{each}", f"/filler/{each}/", "safe", f"f{each % 97}.example")
        for each in range(fillers)
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": max_body_bytes,
        "idle_timeout_ms": idle_timeout_s * MS_PER_S,
    }
    services = [{"name": SERVICE, "health_path": "/health", "max_connections": 200}]
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    return json.dumps(document).encode()


def server_entry(address: Address, zone: str, is_leaving: bool, sequence: int) -> bytes:
    """Return the value of a server's row."""
    document = {
        "service": SERVICE,
        "address": str(address),
        "zone": zone,
        "version": "1",
        "slots": 40,
        "state": "draining" if is_leaving else "ready",
        "warm_up_left_ms": 0,
        "seq": sequence,
    }
    return json.dumps(document).encode()


def settings(gateway: SettledGateway, store: Address, grace_s: float) -> dict[str, Any]:
    """Return what the settings file of a gateway says."""
    return {
        "node": gateway.name,
        "zone": "z1",
        "peer_host": gateway.address.host,
        "peer_port": gateway.peer_port,
        "metrics_port": gateway.metrics_port,
        "front_address": str(gateway.address),
        "readiness_address": str(gateway.readiness),
        "store_address": str(store),
        "stop_grace_s": grace_s,
        "server_heartbeat_ms": HEARTBEAT_S * MS_PER_S,
        "drain_ms": DRAIN_S * MS_PER_S,
        "configuration_apply_ms": 2000,
        "hold_max_ms": 4000,
        "retry_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 20,
    }
