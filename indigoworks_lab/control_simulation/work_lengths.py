"""How long requests run at servers."""

from random import Random

MEAN_S = 0.15
LONG_SHARE = 0.03
LONG_S = (0.5, 3.0)
"""A few requests run much longer than the others, up to the second figure."""


def draw_work_s(random: Random) -> float:
    """Return the seconds that one request runs."""
    if random.random() < LONG_SHARE:
        return random.uniform(*LONG_S)
    return random.uniform(0.2, 1.8) * MEAN_S
