"""Times at which the store of a soak comes back from a copy, drawn apart from its plan."""

from dataclasses import dataclass
from random import Random

COPY_AGES_S = (0.3, 1.0, 3.0, 6.0)
AWAY_S = (0.2, 2.0)
WRITTEN_AGAIN_S = (0.1, 1.0)
MEAN_GAP_S = 6.0
"""Between a return and the copy of the next one: some return within a heartbeat of each other, and
after others there is time to see whether all is as it was."""


@dataclass(frozen=True)
class SoakReturn:
    """A copy made at `at_s` is what the store comes back from; all in seconds.

    :ivar age_s: time from the copy until the store goes away.
    :ivar away_s: time for which it is away.
    :ivar written_again_s: time from the return until operator and servers have written again.
    """

    at_s: float
    age_s: float
    away_s: float
    written_again_s: float


def draw_returns(random: Random, seconds: float) -> list[SoakReturn]:
    """Return returns whose copies are made within `seconds`, one after the other."""
    returns: list[SoakReturn] = []
    at_s = random.uniform(0.2, 1.5)
    while at_s < seconds:
        made = SoakReturn(
            at_s,
            random.choice(COPY_AGES_S),
            random.uniform(*AWAY_S),
            random.uniform(*WRITTEN_AGAIN_S),
        )
        returns.append(made)
        at_s += made.age_s + made.away_s + random.expovariate(1 / MEAN_GAP_S)
    return returns
