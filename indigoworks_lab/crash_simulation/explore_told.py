"""Runs in which callers come back at the times that they are told for a limit, by seed."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise
from random import Random
from statistics import fmean

import detangle

from indigoworks_lab.crash_simulation.caller_answer import CallerAnswer
from indigoworks_lab.crash_simulation.callers import SERVED, Callers
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation

LIMITED = "server_limited"
GATEWAYS = (3, 8, 20, 40)
SERVERS = (2, 6)
LIMITS_PER_S = (0.3, 0.5, 1.0, 2.0, 4.0)
FACTORS = (1.3, 3.0, 7.0, 20.0, 50.0)
"""Times what the limits let through, that callers ask for."""

MOST_PER_S = 60.0
LENGTH_S = 40.0
MAX_STEPS = 100_000_000


@dataclass(frozen=True)
class ToldRun:
    """What callers saw of one run.

    :ivar came: who came back when it was told; `served`: those who were served then.
    :ivar factor: times what the limits let through, that callers asked for.
    :ivar refusals: for a limit, of one caller, in the mean.
    :ivar mean_s: from a caller's first try to its answer; `worst_s`: the longest.
    """

    came: int
    served: int
    factor: float
    refusals: float
    mean_s: float
    worst_s: float


def run_told(seed: int) -> ToldRun:
    """Play the run of a seed."""
    random = Random(f"told {seed}")
    shape = CrashShape(gateways=random.choice(GATEWAYS), servers=random.choice(SERVERS))
    limit_per_s = random.choice(LIMITS_PER_S)
    per_s = min(MOST_PER_S, random.choice(FACTORS) * limit_per_s * shape.servers)
    asked_s = random.uniform(6.0, 16.0)

    async def main() -> list[CallerAnswer]:
        simulation = CrashSimulation(shape, seed)
        simulation.start()
        callers = Callers(simulation)
        for name, _ in shape.services:
            simulation.spawn(callers.send_patient(name, per_s, asked_s))
        try:
            await asyncio.sleep(1.0)
            for machine in simulation.machines.values():
                machine.wishes.set_limit(1.0, limit_per_s)
            await asyncio.sleep(LENGTH_S)
        finally:
            await simulation.finish()
        return simulation.answers

    answers = detangle.run(main, max_steps=MAX_STEPS)
    return _report(answers, per_s / (limit_per_s * shape.servers))


def _report(answers: list[CallerAnswer], factor: float) -> ToldRun:
    by_target = defaultdict(list)
    for each in answers:
        by_target[each.target].append(each)
    later = [
        after
        for tries in by_target.values()
        for before, after in pairwise(tries)
        if LIMITED in before.text
    ]
    times_s = [
        tries[-1].at_s - tries[0].sent_s
        for tries in by_target.values()
        if tries[-1].status == SERVED
    ]
    return ToldRun(
        came=len(later),
        served=sum(each.status == SERVED for each in later),
        factor=factor,
        refusals=sum(LIMITED in each.text for each in answers) / len(by_target),
        mean_s=fmean(times_s),
        worst_s=max(times_s),
    )
