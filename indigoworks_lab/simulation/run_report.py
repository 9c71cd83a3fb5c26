"""What one run of one seed showed."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.checkers.served_again import ServedAgain
from indigoworks_lab.checkers.violation import Violation


@dataclass(frozen=True)
class RunReport:
    """Result of one seed.

    :ivar faults: faults injected, by kind.
    :ivar digest: hash of the histories; equal for equal runs.
    :ivar failures: exceptions that escaped a task of the product.
    """

    seed: int
    virtual_s: float
    steps: int
    violations: Sequence[Violation]
    failures: Sequence[str]
    faults: dict[str, int]
    most_faults_at_once: int
    served_again: Sequence[ServedAgain]
    calls_by_outcome: dict[str, int]
    executions: int
    settings_accepted: int
    digest: str

    @property
    def is_ok(self) -> bool:
        """Tell whether nothing was found."""
        return not self.violations and not self.failures


def failed_run(seed: int, failure: str) -> RunReport:
    """Return the report of a run that could not be finished."""
    return RunReport(seed, 0.0, 0, (), (failure,), {}, 0, (), {}, 0, 0, "")
