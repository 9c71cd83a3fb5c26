"""Straight lines through measured points."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Slope:
    """A least-squares line.

    :ivar per_unit: growth of the figure for one more unit.
    :ivar at_zero: the figure where there is no unit.
    :ivar worst_error: largest distance of a point from the line, as a share of the largest figure.
    """

    per_unit: float
    at_zero: float
    worst_error: float

    def at(self, units: float) -> float:
        """Return the figure that the line gives for `units`."""
        return self.at_zero + self.per_unit * units


def fit_slope(points: Sequence[tuple[float, float]]) -> Slope | None:
    """Fit (units, figure) pairs; None with fewer than two different units."""
    units = [unit for unit, _ in points]
    if len(set(units)) < 2:
        return None
    figures = [figure for _, figure in points]
    line = statistics.linear_regression(units, figures)
    largest = max(abs(figure) for figure in figures)
    errors = [abs(line.intercept + line.slope * unit - figure) for unit, figure in points]
    return Slope(line.slope, line.intercept, max(errors) / largest if largest else 0.0)
