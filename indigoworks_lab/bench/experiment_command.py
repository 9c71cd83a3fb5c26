"""The command that runs an experiment."""

import sys
from collections.abc import Sequence
from pathlib import Path

from indigoworks_lab.bench.deployment.variant import BASELINES, Variant
from indigoworks_lab.bench.experiment import Experiment
from indigoworks_lab.bench.figures.run_figures import RunFigures
from indigoworks_lab.bench.installation.installation import Installation
from indigoworks_lab.bench.installation.installations import INSTALLATIONS
from indigoworks_lab.bench.report.figures_file import write_figures
from indigoworks_lab.bench.report.plots import write_plots
from indigoworks_lab.bench.report.table import markdown_table
from indigoworks_lab.bench.scenario.scenarios import SCENARIOS

EXIT_OK = 0
EXIT_MISUSE = 2
TREE_DIRECTORY = Path(__file__).parents[2]
"""The repository: the trees of the installations lie in its etc/."""


def run_experiment_command(
    name: str, seeds: Sequence[int], baselines: Sequence[str], output: Path
) -> int:
    """Run, write JSON files and plots, print a table; return the exit code."""
    found = _find(name)
    if found is None or not set(baselines) <= {each.value for each in BASELINES}:
        print(_usage(), file=sys.stderr)
        return EXIT_MISUSE
    installation, scenario = found
    variants = [Variant.OURS, *(Variant(each) for each in baselines)]
    experiment = Experiment(installation, scenario, variants, TREE_DIRECTORY)
    output.mkdir(parents=True, exist_ok=True)
    all_figures: list[RunFigures] = []
    for seed in seeds:
        for variant in variants:
            figures = experiment.run(seed, variant)
            write_figures(figures, output)
            all_figures.append(figures)
    write_plots(experiment.name, all_figures, output)
    print(markdown_table(all_figures))
    return EXIT_OK


def _find(name: str) -> tuple[Installation, str] | None:
    for installation in INSTALLATIONS.values():
        for scenario in SCENARIOS:
            if name == f"{installation.name}-{scenario}":
                return installation, scenario
    return None


def _usage() -> str:
    return (
        f"An experiment is called INSTALLATION-SCENARIO: one of {', '.join(INSTALLATIONS)} and one "
        f"of {', '.join(SCENARIOS)}. Baselines: {', '.join(BASELINES)}."
    )
