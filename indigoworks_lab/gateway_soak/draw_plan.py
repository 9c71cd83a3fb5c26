"""Plans of soaks, drawn from a random source."""

from random import Random

from indigoworks_lab.gateway_soak.event_kind import EventKind
from indigoworks_lab.gateway_soak.soak_event import SoakEvent

STORE_MODES = ("slow", "down", "loses", "trickles")
FILE_MODES = ("changed", "changed", "unchanged", "broken", "missing", "twice")
IDLE_TIMEOUTS_S = (1.0, 1.25, 1.6, 2.0)
"""Each is about 4/5 of the next: a caller that goes by the new limit may send just when the old one
ends."""

BODY_LIMITS = (32 * 1024, 64 * 1024, 128 * 1024)
LARGE_ROUTES = 2500
LARGE_SHARE = 0.4
SERIES_GAPS_S = (0.15, 0.4, 1.7)
SERIES_SPAN_S = 3.5
MEAN_GAP_S = 0.6
"""Between the starts of events or series: most overlap."""


def draw_plan(random: Random, seconds: float, gateways: int, servers: int) -> list[SoakEvent]:
    """Return events within `seconds`, by time."""
    events: list[SoakEvent] = []
    at_s = 0.3
    kinds = list(EventKind)
    while at_s < seconds:
        kind = random.choice(kinds)
        if kind is EventKind.CONFIGURE:
            events.extend(_series(random, at_s))
        else:
            events.append(_event(random, kind, at_s, gateways, servers))
        at_s += random.expovariate(1 / MEAN_GAP_S)
    return sorted((each for each in events if each.at_s < seconds), key=lambda each: each.at_s)


def _event(random: Random, kind: EventKind, at_s: float, gateways: int, servers: int) -> SoakEvent:
    modes = {EventKind.STORE: STORE_MODES, EventKind.HANG_UP: FILE_MODES}.get(kind, ("",))
    return SoakEvent(
        at_s,
        kind,
        target=random.randrange(servers if kind is EventKind.LEAVE else gateways),
        duration_s=random.uniform(0.2, 1.5),
        mode=random.choice(modes),
    )


def _series(random: Random, at_s: float) -> list[SoakEvent]:
    """Return configurations in quick succession."""
    gap_s = random.choice(SERIES_GAPS_S)
    count = min(random.randint(2, 6), 1 + int(SERIES_SPAN_S / gap_s))
    return [
        SoakEvent(
            at_s + number * gap_s,
            EventKind.CONFIGURE,
            filler_routes=LARGE_ROUTES if random.random() < LARGE_SHARE else 0,
            idle_timeout_s=random.choice(IDLE_TIMEOUTS_S),
            max_body_bytes=random.choice(BODY_LIMITS),
        )
        for number in range(count)
    ]
