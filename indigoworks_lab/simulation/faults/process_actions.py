"""What faults do to processes of any kind."""

import asyncio
from collections.abc import Awaitable, Sequence
from random import Random

from indigoworks_lab.checkers.history.planned_stop import PlannedStop
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.faults.fault_group import EndFault
from indigoworks_lab.simulation.simulation import Simulation

STOP_PATIENCE_S = 40.0
"""Time after which a planned stop is ended by force, as operators do."""

OUTGOING_HELD_RATIO = 0.5
"""Share of the freezes that also hold back what the process has just sent. To the others this
looks like a freeze between the process's last check and its send."""


class ProcessActions:
    """Freezes, cuts off and stops processes."""

    def __init__(self, simulation: Simulation, random: Random) -> None:
        self._simulation = simulation
        self._random = random

    def freeze(self, process: SimulatedProcess) -> EndFault:
        """Freeze the process until the fault ends."""
        is_outgoing_held = self._random.random() < OUTGOING_HELD_RATIO
        network = process.network
        others = [host for host in network.hosts if host != process.host]
        process.freeze()
        if is_outgoing_held:
            for other in others:
                network.cut_way(process.host, other)

        async def thaw() -> None:
            process.thaw()
            if is_outgoing_held:
                for other in others:
                    network.heal_way(process.host, other)

        return thaw

    def cut_off(self, process: SimulatedProcess, is_both_ways: bool) -> EndFault:
        """Cut what others send to the process, and also what it sends if `is_both_ways`."""
        others = [host for host in process.network.hosts if host != process.host]
        return self._cut(others, [process.host], is_both_ways)

    def cut_between(
        self,
        sources: Sequence[SimulatedProcess],
        targets: Sequence[SimulatedProcess],
        is_both_ways: bool,
    ) -> EndFault:
        """Cut what `sources` send to `targets`, and also the other way if `is_both_ways`."""
        source_hosts = [process.host for process in sources]
        target_hosts = [process.host for process in targets]
        return self._cut(source_hosts, target_hosts, is_both_ways)

    def _cut(self, sources: Sequence[str], targets: Sequence[str], is_both_ways: bool) -> EndFault:
        network = self._simulation.network
        ways = [(source, target) for source in sources for target in targets]
        if is_both_ways:
            ways += [(target, source) for source, target in ways]
        for source, target in ways:
            network.cut_way(source, target)

        async def heal() -> None:
            for source, target in ways:
                network.heal_way(source, target)

        return heal

    async def stop(
        self, process: SimulatedProcess, stopping: Awaitable[None], stop: PlannedStop
    ) -> None:
        """Wait for a planned stop of the process and end it.

        :param stopping: the process's own stop.
        :param stop: the record of the stop.
        """
        task = process.spawn(_as_coroutine(stopping))
        await asyncio.wait({task}, timeout=STOP_PATIENCE_S)
        stop.ended_s = self._simulation.now_s()
        process.end()


async def _as_coroutine(work: Awaitable[None]) -> None:
    await work
