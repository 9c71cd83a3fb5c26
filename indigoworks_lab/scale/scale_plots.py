"""Plots of the scale run."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from indigoworks_lab.scale import scale_figures as figures
from indigoworks_lab.scale.point_result import PointResult
from indigoworks_lab.scale.scale_figures import Figure

PLOTS: dict[str, tuple[Figure, ...]] = {
    "cores": (
        figures.LEADER_CORES,
        figures.FOLLOWER_CORES,
        figures.CHANGING_LEADER_CORES,
        figures.CHANGING_FOLLOWER_CORES,
    ),
    "memory": (figures.LEADER_MEMORY, figures.FOLLOWER_MEMORY),
    "bytes": (figures.ROUTER_BYTES, figures.CHANGING_ROUTER_BYTES, figures.SERVER_BYTES),
    "times": (
        figures.SETTINGS_MEDIAN,
        figures.SETTINGS_WORST,
        figures.LOSS,
        figures.ZONE_LOSS,
        figures.RETURN,
    ),
}


def write_plots(results: Sequence[PointResult], directory: Path) -> None:
    """Write one PNG file for each group of figures, over the number of members."""
    chosen = [result for result in results if result.point.is_usual]
    for name, group in PLOTS.items():
        axes = pyplot.figure(figsize=(8, 5)).gca()
        for figure in group:
            points = [(each.point.members, figure.middle(each)) for each in chosen]
            known = [(members, value) for members, value in points if value is not None]
            axes.plot([x for x, _ in known], [y for _, y in known], "o-", label=figure.heading)
        axes.set_xlabel("members (routers and back ends)")
        axes.grid(True)
        axes.legend()
        pyplot.savefig(directory / f"{name}.png")
        pyplot.close()
