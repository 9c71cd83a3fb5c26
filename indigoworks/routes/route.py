"""One route of the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host under one path prefix.

    :ivar is_repeatable: requests may safely run more than once.
    :ivar timeout_s: longest time that a request may take in the gateway, in seconds.
    :ivar aim_s: target response time, in seconds; a later answer is worth less to the caller.
    :ivar max_attempts: number of servers that a request may be sent to.
    :ivar priority: 0 is the most urgent.
    :ivar services: services that share the requests by weight; often a single one.
    """

    name: str
    host: str
    path_prefix: str
    is_repeatable: bool
    timeout_s: float
    aim_s: float
    max_attempts: int
    priority: int
    services: tuple[WeightedService, ...]
