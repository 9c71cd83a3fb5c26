"""Size and load of one service of an installation."""

import math
from dataclasses import dataclass

SERVICE_SIGMA = 0.5
"""Spread of the service times: standard deviation of their logarithm."""


@dataclass(frozen=True)
class ServiceShape:
    """A service, its servers and what its callers do.

    :ivar service_median_s: median of the service time, in seconds.
    :ivar read_ratio: share of the requests that are repeatable reads.
    """

    name: str
    servers: int
    slots: int
    connections: int
    service_median_s: float
    read_ratio: float

    @property
    def mean_service_s(self) -> float:
        """Mean of the service time of a warm server, in seconds."""
        return self.service_median_s * math.exp(SERVICE_SIGMA**2 / 2)

    @property
    def server_capacity_per_s(self) -> float:
        """Requests that one warm server completes per second."""
        return self.slots / self.mean_service_s

    @property
    def capacity_per_s(self) -> float:
        """Requests that all servers complete per second."""
        return self.servers * self.server_capacity_per_s
