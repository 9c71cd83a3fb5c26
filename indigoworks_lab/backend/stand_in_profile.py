"""Capacity and costs of a stand-in back end."""

from dataclasses import dataclass

CONNECTION_COST_S = 0.001
PROBE_COST_S = 0.006


@dataclass(frozen=True)
class StandInProfile:
    """Capacity and costs.

    :ivar slots: requests that run at once.
    :ivar queue_limit: requests that may wait for a slot; one more is shed.
    :ivar connections: open connections on which data requests are taken.
    :ivar connection_cost_s: time that a new connection takes.
    :ivar probe_cost_s: time that a probe holds a slot.
    :ivar probe_lag_s: age at which the readings behind the probes are refreshed.
    :ivar service_median_s: median of the service time.
    :ivar service_sigma: spread of the service time (standard deviation of its logarithm).
    :ivar cold_requests: requests after the start until the server is warm.
    :ivar cold_factor: how much longer the first request takes; falls evenly to 1.
    :ivar shed_retry_after_s: seconds after which a shedding server wants to be asked again.
    """

    slots: int = 2
    queue_limit: int = 8
    connections: int = 100
    connection_cost_s: float = CONNECTION_COST_S
    probe_cost_s: float = PROBE_COST_S
    probe_lag_s: float = 1.0
    service_median_s: float = 0.004
    service_sigma: float = 0.5
    cold_requests: int = 50
    cold_factor: float = 4.0
    shed_retry_after_s: float = 0.05
