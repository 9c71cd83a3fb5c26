"""A back end of a deployment."""

from dataclasses import dataclass

from indigoworks.common.address import Address


@dataclass(frozen=True)
class ServerPlan:
    """Name, service, zone, address and capacity of a back end."""

    name: str
    service: str
    zone: str
    http: Address
    slots: int
    connections: int
    seed: int
