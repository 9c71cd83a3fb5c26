"""Runs of harmful requests with drawn faults, by seed."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

import detangle

from indigoworks_lab.crash_simulation.callers import Callers
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation
from indigoworks_lab.crash_simulation.harm_checker import HarmReport, check_harm
from indigoworks_lab.crash_simulation.outages import Outages

LENGTH_S = 40.0
HARMFUL = "harmful"
OTHERS_PER_S = 20.0
PAGES_PER_S = 15.0
GATEWAYS = (3, 8, 11, 20)
SERVERS = (6, 14, 20)
SMALL_GATEWAYS = (1, 2, 17)
SMALL_SERVERS = (1, 2)
SMALL_OTHERS_PER_S = 4.0
"""A fifth of what the slots of one server take."""

SMALL_DOWN_S = (0.0, 0.4, 2.5, 3.4)
LISTED_S = 0.2
CALLERS = 40
READERS_OF_PAGE = 9
MANY_TRIES = 10
MANY_TRIES_S = 10.0
MAX_STEPS = 100_000_000

Fault = Callable[["DrawnRun"], Coroutine[Any, Any, None]]


@dataclass
class DrawnRun:
    """One run: the simulation, its callers, and the randomness of its faults.

    :ivar is_of_many: each try of a request that is repeated comes from another caller.
    :ivar others_per_s: requests a second to each service that do no harm.
    """

    simulation: CrashSimulation
    callers: Callers
    random: Random
    outages: Outages
    is_of_many: bool = False
    others_per_s: float = OTHERS_PER_S

    def caller(self, number: int, count: int) -> str:
        """Return who sends the try `count` of the repeated request `number`."""
        return f"10.9.{number + 2}.{count % CALLERS}" if self.is_of_many else f"10.9.0.{number}"

    def now_s(self) -> float:
        """Return the time of the run, in seconds."""
        return asyncio.get_running_loop().time()


def run_seed(
    seed: int, is_of_many: bool = False, has_zone_cuts: bool = False, is_small: bool = False
) -> HarmReport:
    """Play the run of a seed.

    :param is_of_many: tries of one request come from many callers.
    :param has_zone_cuts: a request also comes many times a second, in a group of which no zone, or
        one alone, hears the others.
    :param is_small: one service has one or two servers, and there are no others.
    """
    random = Random(f"harm {seed}")
    shape = _draw_small_shape(random) if is_small else _draw_shape(random)
    others_per_s = SMALL_OTHERS_PER_S if is_small else OTHERS_PER_S

    async def main() -> HarmReport:
        simulation = CrashSimulation(shape, seed)
        simulation.start()
        callers = Callers(simulation)
        run = DrawnRun(simulation, callers, random, Outages(), is_of_many, others_per_s)
        works = [_play(run)]
        if has_zone_cuts:
            # Drawn by itself, so that the rest of a seed stays what it is.
            cut = DrawnRun(simulation, run.callers, Random(f"cuts {seed}"), run.outages, True)
            works += [cut_zones(cut), _many_tries(cut)]
        try:
            await asyncio.gather(*works)
        finally:
            await simulation.finish()
        return check_harm(simulation.runs(), simulation.answers, run.outages, HARMFUL)

    return detangle.run(main, max_steps=MAX_STEPS)


def _draw_shape(random: Random) -> CrashShape:
    return CrashShape(
        gateways=random.choice(GATEWAYS),
        servers=random.choice(SERVERS),
        is_dark=random.random() < 0.3,
        keeps_id=random.random() < 0.3,
    )


def _draw_small_shape(random: Random) -> CrashShape:
    """Return a shape in which servers start again under their id, sooner or later."""
    down_s = random.choice(SMALL_DOWN_S)
    listed_s = LISTED_S if down_s == 0.0 else 0.0
    return CrashShape(
        gateways=random.choice(SMALL_GATEWAYS),
        servers=random.choice(SMALL_SERVERS),
        services=(("scheduler", random.random() < 0.5),),
        is_dark=down_s > 0.0 and random.random() < 0.3,
        keeps_id=True,
        down_s=down_s,
        move_s=min(down_s, 1.5),
        listed_s=listed_s,
        lapse_s=max(down_s + listed_s, 3.9),
    )


async def _play(run: DrawnRun) -> None:
    simulation, random = run.simulation, run.random
    simulation.lost_datagrams = random.choice((0.0, 0.03, 0.1))
    simulation.lost_answers = random.choice((0.0, 0.02))
    works = [
        run.callers.send_different(name, run.others_per_s, LENGTH_S)
        for name, _ in simulation.shape.services
    ]
    works += [_harmful(run, number) for number in range(random.randint(1, 3))]
    has_page = random.random() < 0.5 and run.others_per_s == OTHERS_PER_S
    works += [_page(run)] if has_page else []
    works += [fault(run) for fault in random.choices(FAULTS, k=random.randint(1, 4))]
    await asyncio.gather(*works)


async def _harmful(run: DrawnRun, number: int) -> None:
    """A request that ends its servers comes again and again, with its query or another."""
    random = run.random
    service = random.choice(run.simulation.shape.services)[0]
    target = f"/{service}/{HARMFUL}/{number}"
    gap_s = random.choice((0.5, 1.5, 3.5))
    changes_query = random.random() < 0.3
    await asyncio.sleep(random.uniform(0.5, 10.0))
    for count in range(int((LENGTH_S - 12.0) / gap_s)):
        tried = f"{target}?page={count}" if changes_query and not run.is_of_many else target
        run.simulation.harmful.add(tried)
        run.simulation.spawn(run.callers.ask(tried, run.caller(number, count)))
        await asyncio.sleep(gap_s)


async def _many_tries(run: DrawnRun) -> None:
    """A request that ends its servers comes many times a second, from many callers."""
    random = run.random
    target = f"/{random.choice(run.simulation.shape.services)[0]}/{HARMFUL}/many"
    gap_s = random.choice((0.01, 0.02, 0.05, 0.2))
    run.simulation.harmful.add(target)
    await asyncio.sleep(random.uniform(0.5, 4.0))
    for count in range(int(MANY_TRIES_S / gap_s)):
        run.simulation.spawn(run.callers.ask(target, run.caller(MANY_TRIES, count)))
        await asyncio.sleep(gap_s)


async def _page(run: DrawnRun) -> None:
    for count in range(int(LENGTH_S * PAGES_PER_S)):
        caller = run.caller(READERS_OF_PAGE, count) if run.is_of_many else "10.9.1.1"
        run.simulation.spawn(run.callers.ask("/scheduler/page", caller))
        await asyncio.sleep(1 / PAGES_PER_S)


# ---- faults ----


async def _restart_one(run: DrawnRun) -> None:
    for _ in range(run.random.randint(1, 5)):
        await asyncio.sleep(run.random.uniform(1.0, 8.0))
        _restart(run, run.random.choice(list(run.simulation.gateways)))


async def _restart_all(run: DrawnRun) -> None:
    await asyncio.sleep(run.random.uniform(5.0, 30.0))
    for node in list(run.simulation.gateways):
        _restart(run, node)


def _restart(run: DrawnRun, node: str) -> None:
    run.simulation.restart_gateway(node)
    run.outages.note_start(node, run.now_s())


async def cut_peers(run: DrawnRun) -> None:
    """Some gateways neither hear the others nor are heard; all reach the store."""
    nodes = list(run.simulation.gateways)
    await asyncio.sleep(run.random.uniform(0.0, 20.0))
    alone = set(run.random.sample(nodes, run.random.randint(1, len(nodes))))
    run.simulation.is_cut = lambda sender, receiver: sender in alone or receiver in alone
    await asyncio.sleep(run.random.uniform(3.0, 15.0))
    run.simulation.is_cut = lambda sender, receiver: False


async def cut_zones(run: DrawnRun) -> None:
    """No zone hears another, or one alone does not hear the others; all reach the store."""
    random, simulation = run.random, run.simulation
    simulation.store.feed_s = random.choice((0.0, 0.02, 0.1))
    zone_of = {each.node: each.address.zone for each in simulation.gateways.values()}
    deaf = random.choice((None, None, *sorted(set(zone_of.values()))))
    await asyncio.sleep(random.choice((0.0, random.uniform(0.0, 6.0))))
    simulation.is_cut = lambda sender, receiver: (
        zone_of[sender] != zone_of[receiver] and deaf in (None, zone_of[receiver])
    )
    await asyncio.sleep(random.uniform(3.0, 20.0))
    simulation.is_cut = lambda sender, receiver: False


async def _lose_store(run: DrawnRun) -> None:
    await asyncio.sleep(run.random.uniform(0.0, 25.0))
    began_s = run.now_s()
    run.simulation.lose_store()
    await asyncio.sleep(run.random.uniform(1.0, 8.0))
    run.simulation.regain_store()
    run.outages.store_s.append((began_s, run.now_s()))


async def _end_some(run: DrawnRun) -> None:
    """Servers end for other reasons, several at a time."""
    for _ in range(run.random.randint(1, 6)):
        await asyncio.sleep(run.random.uniform(1.0, 6.0))
        for service, _ in run.simulation.shape.services:
            living = run.simulation.living_machines(service)
            count = min(run.random.randint(1, 5), len(living) - 1)
            for machine in run.random.sample(living, max(0, count)):
                machine.end(run.random.random() < 0.3)


FAULTS: tuple[Fault, ...] = (_restart_one, _restart_all, cut_peers, _lose_store, _end_some)
