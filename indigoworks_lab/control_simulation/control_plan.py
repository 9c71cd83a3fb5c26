"""What a run meets."""

from dataclasses import dataclass, replace
from random import Random

from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_kind import DRAWN_KINDS, PATH_KINDS, FaultKind

CALM_S = 5.0
FAULTS_S = 18.0
MAX_FAULTS = 8
HOLD_MAX_S = 10.0
DURATIONS_S = (0.4, 1.5, 3.0, 5.0, 8.0, 12.0)
COPY_AGES_S = (0.5, 1.0, 3.0, 6.0)
MAX_RETURNS = 2
MAX_LOST_PATHS = 3
MIN_LOST_PATH_S = 1.0
LONGEST_AWAY_S = 4.5
"""Time until the store is back and all that others wrote is written again."""


@dataclass(frozen=True, slots=True)
class ControlPlan:
    """Size of the deployment, and the faults; all end FAULTS_S after the calm beginning.

    :ivar hold_max_s: longest hold that servers accept.
    :ivar forgets_releases: servers do not remember the token of a release.
    """

    nodes: int
    servers: int
    faults: tuple[DrawnFault, ...]
    hold_max_s: float = HOLD_MAX_S
    forgets_releases: bool = False


def draw_plan(seed: int, kinds: tuple[FaultKind, ...] = DRAWN_KINDS) -> ControlPlan:
    """Draw a plan; `kinds` are those that may come."""
    random = Random(f"{seed}:plan")
    faults = []
    for _ in range(random.randint(2, MAX_FAULTS)):
        start_s = random.uniform(0.0, FAULTS_S - 1.0)
        longest_s = random.choice(DURATIONS_S) * random.uniform(0.6, 1.2)
        duration_s = min(longest_s, FAULTS_S - start_s)
        faults.append(DrawnFault(random.choice(kinds), start_s, duration_s))
    faults.sort(key=lambda each: each.start_s)
    return ControlPlan(random.choice((2, 3, 4)), random.choice((3, 4, 5)), tuple(faults))


def with_lost_paths(plan: ControlPlan, seed: int) -> ControlPlan:
    """Return a plan in which nodes also lose their path to all servers, once to three times.

    Drawn by themselves, so that the other faults of a seed stay what they are.
    """
    random = Random(f"{seed}:paths")
    cuts = []
    for _ in range(random.randint(1, MAX_LOST_PATHS)):
        start_s = random.uniform(0.0, FAULTS_S - MIN_LOST_PATH_S)
        duration_s = random.uniform(MIN_LOST_PATH_S, FAULTS_S - start_s)
        cuts.append(DrawnFault(random.choice(PATH_KINDS), start_s, duration_s))
    faults = sorted((*plan.faults, *cuts), key=lambda each: each.start_s)
    return replace(plan, faults=tuple(faults))


def with_returns(plan: ControlPlan, seed: int) -> ControlPlan:
    """Return a plan in which the store also comes back from a copy, once or twice.

    Drawn by themselves, so that the other faults of a seed stay what they are.
    """
    random = Random(f"{seed}:returns")
    returns = []
    for _ in range(random.randint(1, MAX_RETURNS)):
        age_s = random.choice(COPY_AGES_S)
        start_s = random.uniform(0.0, FAULTS_S - age_s - LONGEST_AWAY_S)
        returns.append(DrawnFault(FaultKind.STORE_RETURNS_FROM_COPY, start_s, age_s))
    faults = sorted((*plan.faults, *returns), key=lambda each: each.start_s)
    return replace(plan, faults=tuple(faults))
