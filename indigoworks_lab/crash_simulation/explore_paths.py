"""Runs in which gateways lose their path to all machines, by seed."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import detangle

from indigoworks_lab.crash_simulation.caller_answer import CallerAnswer
from indigoworks_lab.crash_simulation.callers import SERVED, Callers
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation
from indigoworks_lab.crash_simulation.path_cuts import PathCut
from indigoworks_lab.gateway_soak.check_path import BACK_S, CONTACT_S, MIN_RATIO, MIN_SERVED

GATEWAYS = (3, 8, 11, 20)
SERVERS = (6, 14, 20)
WARM_S, AFTER_S = 5.0, 4.0
CUT_S = (5.0, 12.0)
PER_S = 40.0
CALLERS = 30
MAX_STEPS = 100_000_000


@dataclass(frozen=True)
class PathRun:
    """What callers got; shares are of single tries, 1 where there was none.

    :ivar cut: number of gateways that were cut, of `gateways`.
    :ivar at_cut: served at the cut gateways, from CONTACT_S after the begin of the cut on.
    :ivar at_others: the same at the others.
    :ivar after: served at all, from BACK_S after its end on.
    :ivar refused_innocents: tries that were refused as harmful.
    """

    seed: int
    way: PathCut
    cut: int
    gateways: int
    at_cut: float
    at_others: float
    after: float
    refused_innocents: int

    def breaches(self) -> list[str]:
        """Return what broke."""
        broken = {
            "served less at the cut gateways": self.at_cut < MIN_RATIO * self.at_others,
            "not served at the others": self.at_others < MIN_SERVED,
            "not served after the cut": self.after < MIN_SERVED,
            "blamed on requests": self.refused_innocents > 0,
        }
        return [name for name, is_broken in broken.items() if is_broken]


def run_paths(seed: int) -> PathRun:
    """Play the run of a seed."""
    random = Random(f"paths {seed}")
    shape = CrashShape(gateways=random.choice(GATEWAYS), servers=random.choice(SERVERS), slots=4)
    way = random.choice(list(PathCut))
    count = random.choice((1, max(1, round(shape.gateways * 0.6)), shape.gateways - 1))

    async def main() -> PathRun:
        simulation = CrashSimulation(shape, seed)
        simulation.lost_datagrams = random.choice((0.0, 0.03, 0.1))
        simulation.start()
        try:
            return await _play(simulation, random, seed, way, count)
        finally:
            await simulation.finish()

    return detangle.run(main, max_steps=MAX_STEPS)


async def _play(
    simulation: CrashSimulation, random: Random, seed: int, way: PathCut, count: int
) -> PathRun:
    cut = random.sample(list(simulation.gateways), count)
    length_s = random.uniform(*CUT_S)
    loading = simulation.spawn(_load(simulation, WARM_S + length_s + AFTER_S))
    loop = asyncio.get_running_loop()
    await asyncio.sleep(WARM_S)
    cut_s = loop.time()
    simulation.path_cuts.begin(cut, way)
    await asyncio.sleep(length_s)
    healed_s = loop.time()
    simulation.path_cuts.heal()
    await loading
    await asyncio.sleep(CONTACT_S)
    answers = simulation.answers
    in_cut = [each for each in answers if cut_s + CONTACT_S <= each.sent_s < healed_s - BACK_S]
    return PathRun(
        seed,
        way,
        count,
        len(simulation.gateways),
        _share([each for each in in_cut if each.gateway in cut]),
        _share([each for each in in_cut if each.gateway not in cut]),
        _share([each for each in answers if each.sent_s >= healed_s + BACK_S]),
        sum("quarantined" in each.text for each in answers),
    )


async def _load(simulation: CrashSimulation, duration_s: float) -> None:
    callers = Callers(simulation)
    for number in range(int(PER_S * duration_s)):
        service = simulation.shape.services[number % len(simulation.shape.services)][0]
        target = f"/{service}/single/{number}"
        simulation.spawn(callers.ask(target, f"10.8.2.{number % CALLERS}"))
        await asyncio.sleep(1 / PER_S)


def _share(answers: Sequence[CallerAnswer]) -> float:
    return sum(each.status == SERVED for each in answers) / len(answers) if answers else 1.0
