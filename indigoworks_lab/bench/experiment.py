"""An experiment: one scenario under ours and under baselines, for some seeds."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from indigoworks_lab.bench.bench_run import BenchRun
from indigoworks_lab.bench.deployment.variant import Variant
from indigoworks_lab.bench.figures.run_figures import RunFigures, run_figures, with_kept_goodput
from indigoworks_lab.bench.installation.installation import Installation
from indigoworks_lab.bench.scenario.scenario import Scenario
from indigoworks_lab.bench.scenario.scenarios import SCENARIOS, ScenarioMaker, calm


@dataclass(frozen=True)
class Experiment:
    """What to run.

    :ivar tree_directory: directory that the installations' tree files are relative to.
    """

    installation: Installation
    scenario: str
    variants: Sequence[Variant]
    tree_directory: Path

    @property
    def name(self) -> str:
        """Name as the command takes it."""
        return f"{self.installation.name}-{self.scenario}"

    def run(self, seed: int, variant: Variant) -> RunFigures:
        """Return the figures of one seed under one variant."""
        scenario = self._scenario(SCENARIOS[self.scenario], seed)
        figures = self._figures(scenario, seed, variant)
        if not scenario.needs_calm_run:
            return figures
        return with_kept_goodput(figures, self._figures(self._scenario(calm, seed), seed, variant))

    def _scenario(self, make: ScenarioMaker, seed: int) -> Scenario:
        return make(self.installation, Random(f"{seed}:scenario"))

    def _figures(self, scenario: Scenario, seed: int, variant: Variant) -> RunFigures:
        run = BenchRun(self.installation, scenario, variant, seed, self.tree_directory)
        return run_figures(run.run())
