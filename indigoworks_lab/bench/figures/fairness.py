"""Fairness among groups."""

from collections.abc import Mapping, Sequence

from indigoworks_lab.bench.figures.model import Model


class Fairness(Model):
    """How the completed requests of one service were shared.

    :ivar jain_index: Jain's index over the groups' goodput, each divided by its fair part; 1 is
        fair. The fair part is the weighted max-min share of what was completed in all: nobody gets
        more than it asked for, and what one leaves goes to the others by weight.
    :ivar least_part: goodput of the worst-off group over its fair part.
    """

    jain_index: float
    least_part: float


def fairness(
    offered: Mapping[str, int], completed: Mapping[str, int], weights: Mapping[str, float]
) -> Fairness:
    """Return the fairness; all mappings go by group."""
    parts = fair_parts(offered, weights, sum(completed.values()))
    ratios = [completed[group] / part for group, part in parts.items() if part > 0]
    return Fairness(jain_index=round(jain_index(ratios), 6), least_part=round(min(ratios), 6))


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's index: 1 where all are equal, 1 / n where one has all."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def fair_parts(
    demands: Mapping[str, float], weights: Mapping[str, float], total: float
) -> dict[str, float]:
    """Return the weighted max-min shares of `total`."""
    parts: dict[str, float] = {}
    open_groups = {group for group, demand in demands.items() if demand > 0}
    left = total
    while open_groups:
        weight = sum(weights[group] for group in open_groups)
        level = left / weight
        filled = {group for group in open_groups if demands[group] <= level * weights[group]}
        if not filled:
            parts.update({group: level * weights[group] for group in open_groups})
            break
        for group in filled:
            parts[group] = demands[group]
            left -= demands[group]
        open_groups -= filled
    return dict(sorted(parts.items()))
