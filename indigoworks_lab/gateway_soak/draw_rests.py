"""Rests that servers of a soak ask for, drawn apart from its plan."""

from dataclasses import dataclass
from random import Random

RESTS_S = (0.4, 1.0, 2.0, 3.0)
MEAN_GAP_S = 2.5
"""Between the begins of two: they overlap, also at one server."""


@dataclass(frozen=True)
class SoakRest:
    """From `at_s` on a server turns all away for `for_s` and asks for `rest_s`, in seconds."""

    at_s: float
    place: int
    for_s: float
    rest_s: float


def draw_rests(random: Random, seconds: float, servers: int) -> list[SoakRest]:
    """Return rests within `seconds`, by time."""
    rests: list[SoakRest] = []
    at_s = random.uniform(0.5, MEAN_GAP_S)
    while at_s < seconds:
        place, for_s = random.randrange(servers), random.uniform(0.3, 4.0)
        rests.append(SoakRest(at_s, place, for_s, random.choice(RESTS_S)))
        at_s += random.expovariate(1 / MEAN_GAP_S)
    return rests
