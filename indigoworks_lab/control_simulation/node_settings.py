"""Settings of a simulated node."""

from indigoworks.common.address import Address
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks_lab.control_simulation.server_fleet import DRAIN_S, HEARTBEAT_S


def node_zone(number: int, zones: int) -> str:
    """Return the zone of node `number`, from 1: nodes are spread over the zones in turn."""
    return f"z{(number - 1) % zones + 1}"


def node_settings(number: int, hold_max_s: float, zones: int = 1) -> GatewaySettings:
    """Return the settings of node `number`, from 1."""
    here = Address(f"10.0.0.{number}", 7000)
    return GatewaySettings(
        node=f"n{number}",
        zone=node_zone(number, zones),
        front_address=here,
        readiness_address=here,
        peer_address=here,
        metrics_address=here,
        store_address=here,
        server_heartbeat_s=HEARTBEAT_S,
        drain_s=DRAIN_S,
        stop_grace_s=6.0,
        hold_max_s=hold_max_s,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_slack=10.0,
    )
