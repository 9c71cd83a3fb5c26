"""The servers of one service, before they get names and addresses."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServicePlan:
    """Number and capacity of a service's servers."""

    service: str
    servers: int
    slots: int
    connections: int
