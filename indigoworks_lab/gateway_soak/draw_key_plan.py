"""Plans of soaks of servers that hold keys, drawn from a random source."""

from collections.abc import Sequence
from random import Random

from indigoworks_lab.gateway_soak.key_event_kind import KeyEventKind
from indigoworks_lab.gateway_soak.key_plan_event import KeyPlanEvent

MEAN_GAP_S = 2.0
FIRST_S = 1.0
HOT_GAP_S = (4.0, 8.0)
FEW_KINDS = (1, 2, 4)
"""Most seeds have events of a few kinds only: what each brings about is seen by itself and beside
few others. The rest have all kinds."""

ALL_KINDS_PART = 0.4

DURATIONS_S = {
    KeyEventKind.PAUSE_SERVER: (0.5, 5.0),
    KeyEventKind.LONG_PAUSE_SERVER: (14.0, 30.0),
    KeyEventKind.PAUSE_LEADER: (0.3, 8.0),
    KeyEventKind.PAUSE_GATEWAY: (0.3, 8.0),
    KeyEventKind.STOP_LEADERS: (0.2, 4.0),
    KeyEventKind.KILL_LEADERS: (0.2, 4.0),
    KeyEventKind.STORE: (0.3, 4.0),
    KeyEventKind.STORE_CLOCK: (0.1, 1.0),
    KeyEventKind.STORE_RETURN: (0.3, 6.0),
    KeyEventKind.SERVER_LINK: (0.5, 15.0),
    KeyEventKind.SERVER_LINKS: (0.5, 15.0),
    KeyEventKind.STORE_LINK: (0.5, 10.0),
    KeyEventKind.LEADER_LINKS: (0.5, 10.0),
    KeyEventKind.GATEWAYS_WITHOUT_SERVERS: (2.0, 12.0),
    KeyEventKind.LATE_GRANT_AT_KILL: (4.0, 12.8),
    KeyEventKind.LATE_GRANT_AT_STOP: (4.0, 12.8),
    KeyEventKind.BUSY: (0.5, 3.0),
}
ANY_DURATION_S = (0.2, 2.0)
DRAWN_LAST = {KeyEventKind.FOREIGN_ENTRY: (1, 4), KeyEventKind.SILENT_CONNECTIONS: (0, 2)}
"""Least and most events of kinds that may stand beside those of any other kind. They are drawn
last: the other events of a seed do not depend on them."""

DRAWN_APART = (KeyEventKind.HOT, *DRAWN_LAST)


def draw_key_plan(
    random: Random, seconds: float, kinds: Sequence[KeyEventKind] = ()
) -> list[KeyPlanEvent]:
    """Return events within `seconds`, by time; `kinds`: of these only, besides changes of load."""
    chosen = [each for each in kinds if each not in DRAWN_APART] if kinds else _kinds(random)
    events = []
    at_s = FIRST_S
    while chosen and at_s < seconds:
        events.append(_event(random, random.choice(chosen), at_s))
        at_s += random.expovariate(1 / MEAN_GAP_S)
    at_s = random.uniform(*HOT_GAP_S)
    while at_s < seconds:
        events.append(_event(random, KeyEventKind.HOT, at_s))
        at_s += random.uniform(*HOT_GAP_S)
    for kind, counts in DRAWN_LAST.items():
        if kinds and kind not in kinds:
            continue
        for _ in range(random.randint(*counts)):
            events.append(_event(random, kind, random.uniform(FIRST_S, seconds)))
    return sorted(events, key=lambda each: each.at_s)


def _kinds(random: Random) -> list[KeyEventKind]:
    every: list[KeyEventKind] = [each for each in KeyEventKind if each not in DRAWN_APART]
    if random.random() < ALL_KINDS_PART:
        return every
    return random.sample(every, random.choice(FEW_KINDS))


def _event(random: Random, kind: KeyEventKind, at_s: float) -> KeyPlanEvent:
    duration_s = random.uniform(*DURATIONS_S.get(kind, ANY_DURATION_S))
    draws = (random.random(), random.random(), random.random())
    return KeyPlanEvent(at_s, kind, duration_s, draws)
