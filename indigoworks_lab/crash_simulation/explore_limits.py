"""Runs in which servers name limits, with drawn faults, by seed."""

import asyncio
from dataclasses import dataclass, field
from random import Random

import detangle

from indigoworks_lab.crash_simulation.callers import Callers
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation
from indigoworks_lab.crash_simulation.explore import FAULTS, DrawnRun, cut_peers, cut_zones
from indigoworks_lab.crash_simulation.limit_checker import CONTACT_S, LimitReport, check_limits
from indigoworks_lab.crash_simulation.outages import Outages

LENGTH_S = 24.0
GATEWAYS = (1, 3, 8, 20)
SERVERS = (2, 6, 14)
LOADS_PER_S = (20.0, 80.0)
PRESSING_PER_S = 120.0
LIMITS_PER_S = (0.0, 0.5, 1.1, 2.0, 5.0, 20.0)
OTHER_FAULTS = tuple(each for each in FAULTS if each is not cut_peers)
"""Gateways that hear nobody are each their own broker; the users excuse them. They are drawn here,
with the spans that are excused."""

MAX_STEPS = 100_000_000


@dataclass(frozen=True)
class LimitRun:
    """What one run came to.

    :ivar tries: tries of callers; `served`: those with an answer of a server.
    """

    report: LimitReport
    tries: int
    served: int


@dataclass
class Excuses:
    """Spans in which single gateways were cut off or stood still, and CONTACT_S after them."""

    spans: list[tuple[str, float, float]] = field(default_factory=list)

    def add(self, node: str, begin_s: float, end_s: float) -> None:
        """Excuse a gateway from `begin_s` until it is in touch again."""
        self.spans.append((node, begin_s, end_s + CONTACT_S))

    def is_excused(self, node: str, at_s: float) -> bool:
        """Tell whether what a gateway sent at a time does not count."""
        return any(each == node and begin_s <= at_s <= end_s for each, begin_s, end_s in self.spans)


def run_limits(seed: int, has_zone_cuts: bool = False) -> LimitRun:
    """Play the run of a seed; `has_zone_cuts`: no zone hears another for a while, under load."""
    random = Random(f"limits {seed}")
    shape = CrashShape(
        gateways=random.choice(GATEWAYS),
        servers=random.choice(SERVERS),
        is_dark=random.random() < 0.3,
        keeps_id=random.random() < 0.3,
    )
    excuses = Excuses()

    async def main() -> LimitRun:
        simulation = CrashSimulation(shape, seed)
        simulation.start()
        run = DrawnRun(simulation, Callers(simulation), random, Outages())
        works = [_play(run, excuses)]
        if has_zone_cuts:
            # Drawn by itself, so that the rest of a seed stays what it is.
            cut = DrawnRun(simulation, run.callers, Random(f"cuts {seed}"), run.outages)
            works += [cut_zones(cut), _press(cut)]
        try:
            await asyncio.gather(*works)
        finally:
            await simulation.finish()
        wishes = [each.wishes for each in simulation.machines.values()]
        served = sum(each.status == 200 for each in simulation.answers)
        report = check_limits(wishes, excuses.is_excused)
        return LimitRun(report, len(simulation.answers), served)

    return detangle.run(main, max_steps=MAX_STEPS)


async def _play(run: DrawnRun, excuses: Excuses) -> None:
    simulation, random = run.simulation, run.random
    simulation.lost_datagrams = random.choice((0.0, 0.03, 0.1))
    simulation.lost_answers = random.choice((0.0, 0.02))
    send = random.choice((run.callers.send_different, run.callers.send_patient))
    works = [
        send(name, random.choice(LOADS_PER_S), LENGTH_S) for name, _ in simulation.shape.services
    ]
    works += [_name_limits(run) for _ in range(random.randint(1, 4))]
    works += [_cut_zone(run)] if random.random() < 0.3 else []
    works += [_cut_some(run, excuses)] if random.random() < 0.3 else []
    works += [_freeze_some(run, excuses)] if random.random() < 0.3 else []
    works += [fault(run) for fault in random.choices(OTHER_FAULTS, k=random.randint(0, 2))]
    await asyncio.wait([asyncio.ensure_future(each) for each in works], timeout=LENGTH_S + 4.0)


async def _name_limits(run: DrawnRun) -> None:
    """Some servers of a service name a limit, which changes now and then, and ends."""
    random = run.random
    await asyncio.sleep(random.uniform(0.5, LENGTH_S - 10.0))
    service = random.choice(run.simulation.shape.services)[0]
    living = run.simulation.living_machines(service)
    machines = random.sample(living, min(random.choice((1, 3, 20)), len(living)))
    for _ in range(random.randint(1, 3)):
        per_s = random.choice(LIMITS_PER_S)
        for machine in machines:
            machine.wishes.set_limit(run.now_s(), per_s)
        await asyncio.sleep(random.uniform(0.5, 6.0))
    for machine in machines:
        machine.wishes.set_limit(run.now_s(), None)


async def _press(run: DrawnRun) -> None:
    """Callers ask for many times what limits let through."""
    works = [
        run.callers.send_different(name, PRESSING_PER_S, LENGTH_S - 4.0)
        for name, _ in run.simulation.shape.services
    ]
    await asyncio.gather(*works)


async def _cut_zone(run: DrawnRun) -> None:
    """The gateways of one zone and those of the others hear each other no more for a while."""
    zones = {each.node: each.address.zone for each in run.simulation.gateways.values()}
    await asyncio.sleep(run.random.uniform(0.0, 14.0))
    run.simulation.is_cut = lambda sender, receiver: (
        (zones[sender] == "z1") != (zones[receiver] == "z1")
    )
    await asyncio.sleep(run.random.uniform(1.0, 8.0))
    run.simulation.is_cut = lambda sender, receiver: False


async def _cut_some(run: DrawnRun, excuses: Excuses) -> None:
    """Some gateways hear nobody for a while."""
    nodes = list(run.simulation.gateways)
    await asyncio.sleep(run.random.uniform(0.0, 14.0))
    alone = set(run.random.sample(nodes, run.random.randint(1, len(nodes))))
    begin_s = run.now_s()
    run.simulation.is_cut = lambda sender, receiver: sender in alone or receiver in alone
    await asyncio.sleep(run.random.uniform(1.0, 8.0))
    run.simulation.is_cut = lambda sender, receiver: False
    for node in alone:
        excuses.add(node, begin_s, run.now_s())


async def _freeze_some(run: DrawnRun, excuses: Excuses) -> None:
    """Some gateways stand still for a while; one at least goes on."""
    nodes = list(run.simulation.gateways)
    await asyncio.sleep(run.random.uniform(1.0, 14.0))
    begin_s = run.now_s()
    frozen = run.random.sample(nodes, run.random.randint(0, len(nodes) - 1))
    for node in frozen:
        run.simulation.frozen.freeze(node)
    await asyncio.sleep(run.random.uniform(0.5, 6.0))
    for node in frozen:
        run.simulation.frozen.thaw(node)
        excuses.add(node, begin_s, run.now_s())
