"""Stops a gateway's process between an order's connection and its bytes."""

import asyncio
from random import Random

from indigoworks_lab.control_simulation.node_world import NodeWorld
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess

STALL_S = (0.05, 3.0)


class SendStall:
    """While it acts, some orders meet a frozen process, or a loop that is late by as much.

    :ivar ratio: share of orders that meet it.
    :ivar is_freeze: the process is frozen from outside, which excuses what it sends when it was
        thawed; a late loop excuses nothing.
    """

    def __init__(self, process: SimulatedProcess, world: NodeWorld, random: Random) -> None:
        self.ratio = 0.0
        self.is_freeze = False
        self._process = process
        self._world = world
        self._random = random

    async def before_bytes(self) -> None:
        """Return when the process runs on."""
        if self.ratio <= 0.0 or self._random.random() >= self.ratio or self._process.is_frozen:
            return
        goes_on: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._process.freeze()
        self._world.run_outside(self._go_on(self._random.uniform(*STALL_S), goes_on))
        await goes_on

    async def _go_on(self, stall_s: float, goes_on: "asyncio.Future[None]") -> None:
        await asyncio.sleep(stall_s)
        if not self._process.is_alive:
            return
        if self.is_freeze:
            self._world.links.note_thaw(self._process.name, self._world.loop.time())
        goes_on.set_result(None)
        self._process.thaw()
