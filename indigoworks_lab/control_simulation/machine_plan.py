"""What machines do to a run that do not run evenly."""

from dataclasses import replace
from random import Random

from indigoworks_lab.control_simulation.control_plan import FAULTS_S, ControlPlan
from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_kind import MACHINE_KINDS, FaultKind

MAX_MACHINE_FAULTS = 4
DURATIONS_S = (0.5, 1.5, 4.0, 9.0, 15.0)
FORGETTING_SHARE = 0.3


def with_machines(plan: ControlPlan, seed: int, longest_pause_s: float) -> ControlPlan:
    """Return a plan in which machines also do not run evenly.

    Drawn by themselves, so that the other faults of a seed stay what they are.

    :param longest_pause_s: a server's process pauses for at most so long, also beyond the end of
        the other faults.
    """
    random = Random(f"{seed}:machines")
    drawn = []
    for _ in range(random.randint(1, MAX_MACHINE_FAULTS)):
        kind = random.choice(MACHINE_KINDS)
        start_s = random.uniform(0.0, FAULTS_S - 1.0)
        if kind is FaultKind.SERVER_PAUSED:
            duration_s = random.uniform(0.5, longest_pause_s)
        else:
            duration_s = min(random.choice(DURATIONS_S), FAULTS_S - start_s)
        drawn.append(DrawnFault(kind, start_s, duration_s))
    faults = sorted((*plan.faults, *drawn), key=lambda each: each.start_s)
    forgets_releases = random.random() < FORGETTING_SHARE
    return replace(plan, faults=tuple(faults), forgets_releases=forgets_releases)
