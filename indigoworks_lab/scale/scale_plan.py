"""What a scale run measures."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.scale.scale_point import ScalePoint

FULL_TIME_LIMIT_S = 400.0
QUICK_TIME_LIMIT_S = 40.0
FULL_WINDOW_S = 3.0
QUICK_WINDOW_S = 1.5
WINDOWS = 3
MEMBERS_OF_VARIATIONS = 200
"""Members of the points that vary ranges or rate of changes."""


@dataclass(frozen=True)
class ScalePlan:
    """Points in the order in which they are measured.

    :ivar window_s: length of one window of the resting state.
    :ivar windows: number of these windows; their spread is reported.
    :ivar time_limit_s: no further point is begun after this time.
    """

    points: tuple[ScalePoint, ...]
    window_s: float = FULL_WINDOW_S
    windows: int = WINDOWS
    time_limit_s: float = FULL_TIME_LIMIT_S


def full_plan(sizes: Sequence[int]) -> ScalePlan:
    """Return the plan that varies members, ranges, rate of changes and share of routers."""
    by_members = [ScalePoint(size) for size in sizes]
    by_ranges = [
        ScalePoint(MEMBERS_OF_VARIATIONS, ranges_per_server=count, changes=5, losses=1)
        for count in (4, 64)
    ]
    by_rate = [ScalePoint(MEMBERS_OF_VARIATIONS, changes_per_s=4.0, losses=1)]
    by_share = [ScalePoint(400, changes=5, losses=1, router_share=0.9)]
    # The largest comes last: it may be more than one machine or one leader carries.
    return ScalePlan((*by_members[:-1], *by_ranges, *by_rate, *by_share, *by_members[-1:]))


def quick_plan() -> ScalePlan:
    """Return a plan of two small points, for a look within a minute."""
    points = tuple(ScalePoint(size, changes=3, losses=1) for size in (20, 80))
    return ScalePlan(points, QUICK_WINDOW_S, WINDOWS, QUICK_TIME_LIMIT_S)
