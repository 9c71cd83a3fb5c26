"""A router of a deployment."""

from dataclasses import dataclass

from indigoworks.common.address import Address


@dataclass(frozen=True)
class RouterPlan:
    """Name, zone and addresses of a router.

    :ivar control: where the others reach it; it listens on the same port of the host of `http`.
    :ivar http: where it listens for HTTP.
    """

    name: str
    zone: str
    control: Address
    http: Address
