"""Gateways before servers of which some fail, with callers that never pause."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace

import detangle

from indigoworks_lab.crash_simulation.callers import Callers
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation

MAX_STEPS = 20_000_000
PAUSE_AFTER_FAILURE_S = 0.05
HARMFUL_TARGET = "/shop/harmful"
UNSAFE = "unsafe"


@dataclass
class OutlierWorld:
    """What a scenario set up, and what was recorded.

    :ivar scripts: coroutines beside the callers, called with the world.
    :ivar evidence: entries in reports.
    :ivar phases: server, begin and end of each time in which one that flaps fails.
    """

    shape: CrashShape
    caller_count: int
    scripts: list = field(default_factory=list)
    faulty: set = field(default_factory=set)
    fails_from_s: float = 0.0
    fails_until_s: float = 0.0
    unsafe_share: float = 0.0
    evidence: list = field(default_factory=list)
    ejected: set = field(default_factory=set)
    phases: list = field(default_factory=list)
    simulation: CrashSimulation | None = None
    duration_s: float = 0.0

    def machines(self):
        return list(self.simulation.machines.values())

    def choose_faulty(self, count):
        chosen = self.machines()[:count]
        self.faulty |= {each.server_id for each in chosen}
        return chosen

    def play(self, duration_s, seed) -> None:
        self.duration_s = duration_s

        async def main():
            self.simulation = CrashSimulation(self.shape, seed)
            self.simulation.start()
            for gateway in self.simulation.gateways.values():
                self._make_unsafe_route(gateway)
                self._watch(gateway)
            try:
                await asyncio.gather(
                    *(script(self) for script in self.scripts),
                    *(self._call(number) for number in range(self.caller_count)),
                )
            finally:
                await self.simulation.finish()

        detangle.run(main, max_steps=MAX_STEPS)

    def _make_unsafe_route(self, gateway) -> None:
        """Add a route whose requests may not be repeated, by the prefix of their path."""
        configurations = gateway.platform.configurations
        known = configurations.current()
        unsafe = replace(
            known.routes[0], name=UNSAFE, path_prefix=f"/{UNSAFE}/", is_repeatable=False
        )
        configurations.put_in_force(replace(known, version=2, routes=(*known.routes, unsafe)))

    def _watch(self, gateway) -> None:
        detectors = [gateway.side.outliers.detector]
        make_queue = gateway.side.brokers.broker._make_queue

        def make_watched(zone):
            queue = make_queue(zone)
            watch(queue.outliers)
            return queue

        def watch(detector):
            before = detector.on_change

            def changed():
                self.ejected |= set(detector.ejected())
                before()

            detector.on_change = changed

        gateway.side.brokers.broker._make_queue = make_watched
        for each in detectors:
            watch(each)
        shared = gateway.side.outliers.shared

        def recorded():
            entries = shared()
            self.evidence.extend(entries)
            return entries

        gateway.side.outliers.shared = recorded

    async def _call(self, number) -> None:
        callers = Callers(self.simulation)
        caller = f"10.8.0.{number}"
        route = UNSAFE if number < self.unsafe_share * self.caller_count else "shop"
        loop, count = asyncio.get_running_loop(), 0
        await asyncio.sleep(0.003 * number)
        while loop.time() < self.duration_s:
            count += 1
            answer = await callers.ask(f"/{route}/{number}/{count}", caller)
            if answer.status != 200:
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    # ---- what was recorded ----

    def arrivals(self, from_s, until_s):
        """Return the number of requests that reached each server."""
        return Counter(
            {
                machine.server_id: sum(
                    1 for each in machine.wishes.arrivals if from_s <= each.at_s < until_s
                )
                for machine in self.machines()
            }
        )

    def shares(self, from_s, until_s):
        arrivals = self.arrivals(from_s, until_s)
        return {each: count / arrivals.total() for each, count in arrivals.items()}

    def answers(self, from_s=0.0):
        return [each for each in self.simulation.answers if each.sent_s >= from_s]
