"""Gauges of dispatchers, and of requests that other gateways pass to this one."""

from indigoworks.common.metrics import Labels, Metrics
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.request_subsystem import RequestSubsystem

NO_LABELS: Labels = ()


def add_dispatcher_gauges(
    metrics: Metrics, requests: RequestSubsystem, platform: PlatformSubsystem
) -> None:
    """Register them."""
    metrics.gauge(
        "gateway_dispatcher_servers",
        "Servers whose dispatcher this process is",
        NO_LABELS,
        lambda: {NO_LABELS: _count_servers(requests, platform)},
    )
    metrics.gauge(
        "gateway_forwarded_in_hand",
        "Requests of other gateways in hand here",
        NO_LABELS,
        lambda: {NO_LABELS: requests.forward_server.count},
    )
    metrics.read_counter(
        "gateway_dispatch_connections_opened",
        "Connections opened to dispatchers",
        NO_LABELS,
        lambda: {NO_LABELS: requests.dispatchers.client.connections_opened},
    )
    metrics.read_counter(
        "gateway_dispatch_signs_requested",
        "Requests that asked a dispatcher for an interim response first",
        NO_LABELS,
        lambda: {NO_LABELS: requests.dispatchers.client.signs_requested},
    )


def _count_servers(requests: RequestSubsystem, platform: PlatformSubsystem) -> int:
    keyed = [each for each in platform.servers.listed() if platform.is_keyed(each.service)]
    return requests.dispatchers.own_server_count([each.server_id for each in keyed])
