"""What one run does."""

from dataclasses import dataclass, field

from indigoworks_lab.simulation.deployment_shape import DeploymentShape
from indigoworks_lab.simulation.faults.fault_plan import FaultPlan


@dataclass(frozen=True)
class RunPlan:
    """Deployment, faults and length of one run.

    :ivar quiet_s: time without faults at the end, after which everything must be served again.
    :ivar serves_within_s: length of the last part of the quiet time, in which each key must be
        served at least once.
    """

    shape: DeploymentShape = field(default_factory=DeploymentShape)
    faults: FaultPlan = field(default_factory=FaultPlan)
    quiet_s: float = 14.0
    serves_within_s: float = 4.0
