"""The scale run's result as text."""

from collections.abc import Callable, Iterator, Sequence

from indigoworks_lab.scale.point_result import PointResult
from indigoworks_lab.scale.scale_figures import FIGURES, Figure
from indigoworks_lab.scale.scale_plan import MEMBERS_OF_VARIATIONS
from indigoworks_lab.scale.scale_point import ScalePoint
from indigoworks_lab.scale.slope import Slope, fit_slope

HEADING_WIDTH = 28
COLUMN_WIDTH = 26


def report_lines(results: Sequence[PointResult]) -> Iterator[str]:
    """Return one line for each figure, a column for each point, and the slopes."""
    yield "mean (smallest-largest) of the windows or repeats of each point"
    yield _row("point", [result.point.label for result in results])
    yield _row("routers + back ends", [_members(result.point) for result in results])
    for figure in FIGURES:
        yield _row(figure.heading, [_cell(figure, result) for result in results])
    yield _row("leader keeps up", ["yes" if each.keeps_up else "no" for each in results])
    yield _row("failed polls on return", [str(each.routers_return_failures) for each in results])
    yield _row("refused changes", [str(each.refused_changes) for each in results])
    yield _row("takeovers before a lapse", [str(each.early_takeovers) for each in results])
    for result in results:
        if result.stopped:
            counted = f"{result.registered} of {result.point.servers} back ends registered"
            yield f"{result.point.label} ended early: {result.stopped}; {counted}"
    yield from _slope_lines(results)


def slope_by_members(results: Sequence[PointResult], figure: Figure) -> Slope | None:
    """Fit a figure over the members, at the usual ranges, rate of changes and share of routers."""
    usual = [result for result in results if result.point.is_usual]
    return _fit(usual, figure, lambda point: point.members)


def slope_by_ranges(results: Sequence[PointResult], figure: Figure) -> Slope | None:
    """Fit a figure over the ranges, among points of the same members."""
    usual = ScalePoint(0)
    same_members = [
        result
        for result in results
        if result.point.members == MEMBERS_OF_VARIATIONS
        and result.point.changes_per_s == usual.changes_per_s
    ]
    return _fit(same_members, figure, lambda point: point.ranges)


def _fit(
    results: Sequence[PointResult], figure: Figure, units: Callable[[ScalePoint], float]
) -> Slope | None:
    return fit_slope(
        [
            (units(result.point), middle)
            for result in results
            if result.keeps_up and (middle := figure.middle(result)) is not None
        ]
    )


def _slope_lines(results: Sequence[PointResult]) -> Iterator[str]:
    yield "slopes of the points whose leader keeps up:"
    yield "growth a member (at 16 ranges a back end); growth a range (at 200 members)"
    for figure in FIGURES:
        members = slope_by_members(results, figure)
        ranges = slope_by_ranges(results, figure)
        yield f"{figure.heading:{HEADING_WIDTH}} {_slope(members):40} {_slope(ranges)}"


def _slope(slope: Slope | None) -> str:
    if slope is None:
        return "-"
    return f"{slope.at_zero:.4g} + {slope.per_unit:.3g} each, off by {slope.worst_error:.0%}"


def _members(point: ScalePoint) -> str:
    return f"{point.routers} + {point.servers}"


def _cell(figure: Figure, result: PointResult) -> str:
    values = figure.values(result)
    middle = figure.middle(result)
    if middle is None:
        return "-"
    if len(values) == 1:
        return f"{middle:.4g}"
    return f"{middle:.4g} ({min(values):.3g}-{max(values):.3g})"


def _row(heading: str, cells: Sequence[str]) -> str:
    columns = "".join(f" {cell:>{COLUMN_WIDTH}}" for cell in cells)
    return f"{heading:{HEADING_WIDTH}}{columns}"
