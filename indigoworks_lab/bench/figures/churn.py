"""Moves of keys between servers."""

from collections.abc import Mapping

from indigoworks_lab.bench.figures.model import Model
from indigoworks_lab.bench.figures.move_cause import MoveCause

S_PER_HOUR = 3600.0


class Churn(Model):
    """Share of a service's keys that changed their owner in the measured part.

    :ivar by_cause: share by cause.
    :ivar moved_ratio: share in all; above 1 where keys moved more than once.
    :ivar moved_ratio_per_hour: the same rate kept up for an hour.
    """

    by_cause: dict[str, float]
    moved_ratio: float
    moved_ratio_per_hour: float


def churn(moved: Mapping[MoveCause, int], keys: int, measured_s: float) -> Churn:
    """Return the churn.

    :param moved: changes of owner, by cause.
    :param keys: number of keys.
    """
    ratio = sum(moved.values()) / keys
    return Churn(
        by_cause={cause.value: round(moved.get(cause, 0) / keys, 6) for cause in MoveCause},
        moved_ratio=round(ratio, 6),
        moved_ratio_per_hour=round(ratio * S_PER_HOUR / measured_s, 4),
    )
