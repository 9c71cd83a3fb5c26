"""A router of a deployment."""

from dataclasses import dataclass

from indigoworks.common.address import Address


@dataclass(frozen=True)
class RouterPlan:
    """Name, zone and addresses of a router."""

    name: str
    zone: str
    control: Address
    http: Address
