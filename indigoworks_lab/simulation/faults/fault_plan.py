"""How often which faults come."""

from dataclasses import dataclass, field

from indigoworks_lab.simulation.faults.fault_kind import FaultKind

RARE = (FaultKind.MAJORITY_KILLED, FaultKind.ALL_CONTROLLERS_KILLED)
RARE_WEIGHT = 0.2


def _mixed_weights() -> dict[FaultKind, float]:
    return {kind: RARE_WEIGHT if kind in RARE else 1.0 for kind in FaultKind}


@dataclass(frozen=True)
class FaultPlan:
    """Faults of one run.

    :ivar weights: relative frequency of each kind; kinds left out never come.
    :ivar first_s: time of the first fault, from when the settings were first accepted.
    :ivar last_s: time after which no fault begins; all have ended by then.
    :ivar mean_pause_s: mean time between the beginnings of two faults.
    :ivar max_duration_s: longest time that one fault stands.
    :ivar is_one_at_a_time: a fault begins only some time after the one before has ended.
    """

    weights: dict[FaultKind, float] = field(default_factory=_mixed_weights)
    first_s: float = 2.0
    last_s: float = 24.0
    mean_pause_s: float = 1.0
    max_duration_s: float = 8.0
    is_one_at_a_time: bool = False
