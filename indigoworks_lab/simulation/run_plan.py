"""What one run does."""

from dataclasses import dataclass, field

from indigoworks_lab.simulation.deployment_shape import DeploymentShape
from indigoworks_lab.simulation.faults.fault_plan import FaultPlan


@dataclass(frozen=True)
class RunPlan:
    """Deployment, faults and length of one run.

    :ivar quiet_s: shortest time without faults at the end.
    :ivar max_quiet_s: time without faults after which everything must be served again. It allows
        for a new leader, and for whatever faults have left to be retried.
    :ivar serves_within_s: length of the last part of the quiet time, in which each key must be
        served at least once.
    """

    shape: DeploymentShape = field(default_factory=DeploymentShape)
    faults: FaultPlan = field(default_factory=FaultPlan)
    quiet_s: float = 8.0
    max_quiet_s: float = 50.0
    serves_within_s: float = 4.0
