"""Limits that servers of a soak name, drawn apart from its plan."""

from dataclasses import dataclass
from random import Random

LIMITS_PER_S = (0.0, 0.5, 2.0, 5.0, 20.0)
MEAN_GAP_S = 3.0
"""Between the begins of two: they overlap, also at one server, whose lowest one holds."""


@dataclass(frozen=True)
class SoakLimit:
    """From `at_s` on a server names a limit for `for_s`, in seconds."""

    at_s: float
    place: int
    for_s: float
    per_s: float


def draw_limits(random: Random, seconds: float, servers: int) -> list[SoakLimit]:
    """Return limits within `seconds`, by time."""
    limits: list[SoakLimit] = []
    at_s = random.uniform(0.5, MEAN_GAP_S)
    while at_s < seconds:
        place, for_s = random.randrange(servers), random.uniform(2.0, 8.0)
        limits.append(SoakLimit(at_s, place, for_s, random.choice(LIMITS_PER_S)))
        at_s += random.expovariate(1 / MEAN_GAP_S)
    return limits
