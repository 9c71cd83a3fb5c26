"""One route of the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes part in a split of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host under one path prefix.

    :ivar is_repeatable: requests may run more than once.
    :ivar timeout_s: longest time that a request is held, in seconds.
    :ivar aim_s: time within which an answer is worth its full credit, in seconds.
    :ivar max_attempts: servers that one request may be sent to.
    :ivar priority: 0 is the most urgent.
    :ivar services: one service, or several with weights.
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
