"""A fault of a run's plan."""

from dataclasses import dataclass

from indigoworks_lab.control_simulation.fault_kind import FaultKind


@dataclass(frozen=True, slots=True)
class DrawnFault:
    """A fault that begins `start_s` after the calm beginning and lasts `duration_s`."""

    kind: FaultKind
    start_s: float
    duration_s: float
