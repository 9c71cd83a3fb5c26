"""A controller of a deployment."""

from dataclasses import dataclass

from indigoworks.common.address import Address


@dataclass(frozen=True)
class ControllerPlan:
    """Name, zone and addresses of a controller."""

    name: str
    zone: str
    control: Address
    http: Address
