"""Choice of names, zones and addresses of a deployment."""

from collections.abc import Sequence

from indigoworks.common.address import Address
from indigoworks_lab.launcher.controller_plan import ControllerPlan
from indigoworks_lab.launcher.deployment_plan import DeploymentPlan
from indigoworks_lab.launcher.free_ports import LOOPBACK, FreePorts
from indigoworks_lab.launcher.router_plan import RouterPlan
from indigoworks_lab.launcher.server_plan import ServerPlan
from indigoworks_lab.launcher.service_plan import ServicePlan


def plan_deployment(
    zones: Sequence[str], services: Sequence[ServicePlan], ports: FreePorts
) -> DeploymentPlan:
    """Plan one controller and one router in each zone, and the servers spread over the zones."""
    return DeploymentPlan(
        platform=_address(ports),
        controllers=tuple(
            ControllerPlan(f"controller-{zone}", zone, _address(ports), _address(ports))
            for zone in zones
        ),
        routers=tuple(
            RouterPlan(f"router-{zone}", zone, _address(ports), _address(ports)) for zone in zones
        ),
        servers=tuple(
            server for service in services for server in _server_plans(service, zones, ports)
        ),
    )


def _server_plans(
    service: ServicePlan, zones: Sequence[str], ports: FreePorts
) -> Sequence[ServerPlan]:
    return [
        ServerPlan(
            name=f"{service.service}-{number}",
            service=service.service,
            zone=zones[number % len(zones)],
            http=_address(ports),
            slots=service.slots,
            connections=service.connections,
            seed=number,
        )
        for number in range(service.servers)
    ]


def _address(ports: FreePorts) -> Address:
    return Address(LOOPBACK, ports.next_port())
