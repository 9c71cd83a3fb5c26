"""A back end of a deployment."""

from dataclasses import dataclass

from indigoworks.common.address import Address


@dataclass(frozen=True)
class ServerPlan:
    """Name, service, zone, address and capacity of a back end.

    :ivar http: where it listens.
    :ivar listed: address in the list of machines, where this is another one.
    """

    name: str
    service: str
    zone: str
    http: Address
    slots: int
    connections: int
    seed: int
    listed: Address | None = None
