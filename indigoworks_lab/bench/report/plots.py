"""Plots of an experiment, ours beside the baselines."""

from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from indigoworks_lab.bench.figures.run_figures import RunFigures

PLOTS: tuple[tuple[str, Callable[[RunFigures, str], float]], ...] = (
    ("read p50, ms", lambda run, name: run.services[name].reads.latency.p50_ms),
    ("read p99, ms", lambda run, name: run.services[name].reads.latency.p99_ms),
    ("read p99.9, ms", lambda run, name: run.services[name].reads.latency.p999_ms),
    ("completed reads, share", lambda run, name: run.services[name].reads.completed_ratio),
    ("load, max / mean", lambda run, name: run.services[name].imbalance.max_to_mean),
    ("keys moved, share", lambda run, name: run.services[name].churn.moved_ratio),
    ("not served, s per key", lambda run, name: run.services[name].not_served_s_per_key),
    ("Jain's index", lambda run, name: run.services[name].fairness.jain_index),
)
COLUMNS = 4
BAR_SHARE = 0.8


def write_plots(name: str, figures: Sequence[RunFigures], directory: Path) -> Path:
    """Write one PNG file with a bar for each service and variant: medians over the seeds."""
    variants = list(dict.fromkeys(each.variant for each in figures))
    services = list(figures[0].services)
    rows = -(-len(PLOTS) // COLUMNS)
    canvas, grid = pyplot.subplots(rows, COLUMNS, figsize=(4 * COLUMNS, 3.4 * rows))
    for axes, (title, value_of) in zip(grid.flat, PLOTS, strict=True):
        width = BAR_SHARE / len(variants)
        for number, variant in enumerate(variants):
            runs = [each for each in figures if each.variant == variant]
            heights = [median(value_of(run, service) for run in runs) for service in services]
            positions = [index + number * width for index in range(len(services))]
            axes.bar(positions, heights, width, label=variant)
        axes.set_title(title)
        axes.set_xticks([index + BAR_SHARE / 2 - width / 2 for index in range(len(services))])
        axes.set_xticklabels(services)
    grid.flat[0].legend()
    seeds = sorted({each.seed for each in figures})
    canvas.suptitle(f"{name}, seeds {', '.join(map(str, seeds))}")
    canvas.tight_layout()
    path = directory / f"{name}.png"
    canvas.savefig(path, metadata={"Software": ""})
    pyplot.close(canvas)
    return path
