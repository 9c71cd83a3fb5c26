"""Runs in which servers ask for rest or leave, with drawn faults, by seed."""

import asyncio
from dataclasses import dataclass
from random import Random

import detangle

from indigoworks_lab.crash_simulation.callers import Callers
from indigoworks_lab.crash_simulation.crash_machine import CrashMachine
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation
from indigoworks_lab.crash_simulation.explore import FAULTS, DrawnRun
from indigoworks_lab.crash_simulation.outages import Outages
from indigoworks_lab.crash_simulation.wish_checker import WishReport, check_wishes

LENGTH_S = 24.0
GATEWAYS = (1, 3, 8, 20)
SERVERS = (2, 6, 14)
PER_S = 80.0
RESTS_S = (0.3, 1.0, 3.0, 6.0)
MAX_STEPS = 100_000_000


@dataclass(frozen=True)
class WishRun:
    """What one run came to.

    :ivar tries: tries of callers; `served`: those with an answer of a server.
    """

    report: WishReport
    tries: int
    served: int

    def is_broken(self) -> bool:
        """Tell whether a wish was not heeded."""
        return self.report.in_rest > 0 or self.report.after_leaving > 0


def run_wishes(seed: int) -> WishRun:
    """Play the run of a seed."""
    random = Random(f"wishes {seed}")
    shape = CrashShape(
        gateways=random.choice(GATEWAYS),
        servers=random.choice(SERVERS),
        is_dark=random.random() < 0.3,
    )

    async def main() -> WishRun:
        simulation = CrashSimulation(shape, seed)
        simulation.start()
        run = DrawnRun(simulation, Callers(simulation), random, Outages())
        try:
            await _play(run)
        finally:
            await simulation.finish()
        report = check_wishes(each.wishes for each in simulation.machines.values())
        served = sum(each.status == 200 for each in simulation.answers)
        return WishRun(report, len(simulation.answers), served)

    return detangle.run(main, max_steps=MAX_STEPS)


async def _play(run: DrawnRun) -> None:
    simulation, random = run.simulation, run.random
    simulation.lost_datagrams = random.choice((0.0, 0.03, 0.1))
    simulation.lost_answers = random.choice((0.0, 0.02))
    works = [
        run.callers.send_different(name, PER_S, LENGTH_S) for name, _ in simulation.shape.services
    ]
    works += [_rest(run) for _ in range(random.randint(1, 4))]
    works += [_leave(run) for _ in range(random.randint(0, 3))]
    works += [fault(run) for fault in random.choices(FAULTS, k=random.randint(0, 3))]
    await asyncio.wait([asyncio.ensure_future(each) for each in works], timeout=LENGTH_S + 4.0)


async def _rest(run: DrawnRun) -> None:
    """Some servers of a service turn all or some gateways away for a while, as often as they are
    asked."""
    random = run.random
    await asyncio.sleep(random.uniform(0.5, LENGTH_S - 10.0))
    machines = _some(run, random.choice((1, 3, 20)))
    nodes = list(run.simulation.gateways)
    turned = set(nodes if random.random() < 0.7 else random.sample(nodes, 1))
    rest_s = random.choice(RESTS_S)
    for machine in machines:
        machine.wishes.turns_away = turned.__contains__
        machine.wishes.rest_s = rest_s
    await asyncio.sleep(random.uniform(1.0, 9.0))
    for machine in machines:
        machine.wishes.rest_s = 0.0


async def _leave(run: DrawnRun) -> None:
    """Some servers say that they leave, serve on for a while, and end."""
    await asyncio.sleep(run.random.uniform(0.5, LENGTH_S - 8.0))
    machines = _some(run, run.random.randint(1, 3))
    for machine in machines:
        machine.wishes.is_leaving = True
    await asyncio.sleep(run.random.uniform(2.5, 7.0))
    for machine in machines:
        machine.end()
        machine.wishes.is_leaving = False


def _some(run: DrawnRun, most: int) -> list[CrashMachine]:
    service = run.random.choice(run.simulation.shape.services)[0]
    living = run.simulation.living_machines(service)
    return run.random.sample(living, min(most, len(living)))
