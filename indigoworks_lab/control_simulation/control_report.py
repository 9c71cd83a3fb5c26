"""What one run showed."""

from dataclasses import dataclass

from indigoworks_lab.control_simulation.control_plan import ControlPlan
from indigoworks_lab.control_simulation.violation import Violation


@dataclass(frozen=True)
class ControlReport:
    """Counts and findings of a run.

    :ivar failures: tasks of the code under test that ended with an exception.
    :ivar moves: versions of the table of owners.
    :ivar epochs: leaders of the run.
    :ivar served_again_s: seconds from the end of the faults until all keys were served at once.
    :ivar digest: equal for equal runs.
    """

    seed: int
    plan: ControlPlan
    violations: tuple[Violation, ...]
    failures: tuple[str, ...]
    grants: int
    begun: int
    moves: int
    epochs: int
    served_again_s: float | None
    digest: str

    @property
    def is_ok(self) -> bool:
        """Tell whether nothing was found."""
        return not self.violations and not self.failures

    def found(self, checker: str) -> list[Violation]:
        """Return what one checker found."""
        return [each for each in self.violations if each.checker == checker]

    def text(self) -> str:
        """Return the findings and the faults of the run."""
        lines = [f"seed {self.seed}: {self.plan.nodes} nodes, {self.plan.servers} servers"]
        if self.plan.forgets_releases:
            lines.append("  servers forget the tokens of releases")
        for fault in self.plan.faults:
            lines.append(f"  {fault.start_s:6.2f} s {fault.duration_s:5.2f} s {fault.kind.value}")
        lines += [f"  {each}" for each in (*self.violations, *self.failures)]
        return "\n".join(lines)
