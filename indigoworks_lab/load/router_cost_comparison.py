"""Processor time of one version, or of two that were measured in turn."""

from collections.abc import Iterator
from statistics import median

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.router_cost_report import RouterCostReport

THIS = "this"
OTHER = "other"


class RouterCostComparison(BaseModel):
    """Reports by version: THIS, and OTHER where there is one."""

    model_config = ConfigDict(frozen=True)

    reports: dict[str, RouterCostReport]

    @property
    def uncompleted(self) -> int:
        """Return how many requests were not completed."""
        return sum(report.uncompleted for report in self.reports.values())

    def as_text(self) -> str:
        """Return the figures as tables."""
        parts = [f"version: {name}\n{report.as_text()}" for name, report in self.reports.items()]
        return "\n\n".join([*parts, *self._changes()])

    def _changes(self) -> Iterator[str]:
        """Return, for each process, this version's time as a share of the other's.

        The median of the ratios of the rounds: two rounds that follow each other see the same
        machine.
        """
        if OTHER not in self.reports:
            return
        this, other = self.reports[THIS].rounds_us, self.reports[OTHER].rounds_us
        for path, processes in this.items():
            for name, rounds in processes.items():
                ratios = [new / old for new, old in zip(rounds, other[path][name], strict=True)]
                yield (
                    f"{path.value}, {name}: this / other = {median(ratios):.3f} "
                    f"(rounds {min(ratios):.3f} to {max(ratios):.3f})"
                )
