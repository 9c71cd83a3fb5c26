"""What to measure for the processor time of routers."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class RouterCostPlan:
    """Rounds of the same number of requests on each path, from a fixed number of callers.

    :ivar is_profiled: one more round on each path under the profiler.
    :ivar against: checkout of another version, measured in turn with this one; None: this one only.
    """

    requests: int = 1000
    callers: int = 8
    rounds: int = 5
    seed: int = 0
    is_profiled: bool = False
    against: Path | None = None
