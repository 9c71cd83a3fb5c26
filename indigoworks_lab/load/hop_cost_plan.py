"""What to measure for the cost of each hop."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HopCostPlan:
    """Rounds of the same load on each path, one path after the other within a round.

    :ivar rate_per_s: open-loop rate at which latencies are measured; well below saturation.
    :ivar callers: callers of the closed loop with which throughput is measured.
    :ivar part_s: length of each measured part, in seconds.
    :ivar service_median_ms: service time of the back ends, alike for all requests.
    """

    rate_per_s: float = 100.0
    callers: int = 16
    rounds: int = 3
    part_s: float = 3.0
    warm_up_s: float = 0.5
    slots: int = 4
    service_median_ms: float = 2.0
    seed: int = 0
