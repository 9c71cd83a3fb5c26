"""How uneven the load of servers is, for the metrics page."""

from bisect import bisect_left
from collections.abc import Iterable

AGE_BOUNDS_S = (0.05, 0.1, 0.2, 0.4)
"""Upper bounds of the ages by which the metric is labelled."""


def age_label(age_s: float) -> str:
    """Return the smallest bound that is not below the age, or "more"."""
    position = bisect_left(AGE_BOUNDS_S, age_s)
    return f"{AGE_BOUNDS_S[position]:g}" if position < len(AGE_BOUNDS_S) else "more"


def uneven_requests(counts: Iterable[tuple[int, int]]) -> int:
    """Return how many requests beyond slots could run in idle slots of other servers.

    :param counts: requests in flight and slots of each server.
    """
    beyond = idle = 0
    for in_flight, slots in counts:
        beyond += max(0, in_flight - slots)
        idle += max(0, slots - in_flight)
    return min(beyond, idle)
