"""Everything that was recorded in one run."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.bench.deployment.backend_registry import BackendRegistry
from indigoworks_lab.bench.deployment.variant import Variant
from indigoworks_lab.bench.figures.call_record import CallRecord
from indigoworks_lab.bench.figures.ownership_meter import OwnershipMeter
from indigoworks_lab.bench.installation.installation import Installation


@dataclass(frozen=True)
class RunRecord:
    """Records of one run, for the figures.

    :ivar measured_from_s, measured_to_s: the measured part, on the virtual clock.
    :ivar calls: all requests, those of the warm-up included.
    """

    installation: Installation
    variant: Variant
    seed: int
    scenario: str
    measured_from_s: float
    measured_to_s: float
    calls: Sequence[CallRecord]
    registry: BackendRegistry
    meter: OwnershipMeter

    @property
    def measured_s(self) -> float:
        """Length of the measured part, in seconds."""
        return self.measured_to_s - self.measured_from_s

    def measured_calls(self) -> list[CallRecord]:
        """Return the requests that arrived in the measured part."""
        return [
            each for each in self.calls if self.measured_from_s <= each.due_s < self.measured_to_s
        ]
