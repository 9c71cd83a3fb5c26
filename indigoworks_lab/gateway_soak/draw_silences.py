"""Series of silent connections to the store of a soak, drawn apart from its plan."""

from random import Random

from indigoworks_lab.gateway_soak.silence_series import SilenceSeries

MAX_GAPS = 2
RESTED_S = (0.0, 0.5, 1.5, 4.0)
"""Least rest of the connections that go silent: those of busy feeds may live on."""

GAPS_S = (0.3, 0.9, 1.4)
IN_TOUCH_S = 3.0
"""Time after a silence from which machines are in touch, and bounds of time are judged."""

CONFIGURED_LATER_S = (0.05, 0.2, 0.6)
WATCHED_S = 4.0
"""Time after a configuration in which its routes are asked for, before the next series."""

MEAN_GAP_S = 1.0


def draw_silences(random: Random, seconds: float) -> list[SilenceSeries]:
    """Return series that begin within `seconds`, one after the other."""
    found: list[SilenceSeries] = []
    at_s = random.uniform(0.5, 2.0)
    while at_s < seconds:
        gaps_s = tuple(random.choice(GAPS_S) for _ in range(random.randint(0, MAX_GAPS)))
        later_s = IN_TOUCH_S + random.choice(CONFIGURED_LATER_S)
        found.append(SilenceSeries(at_s, random.choice(RESTED_S), gaps_s, later_s))
        at_s += sum(gaps_s) + later_s + WATCHED_S + random.expovariate(1 / MEAN_GAP_S)
    return found
