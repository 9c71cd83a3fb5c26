"""Injects the faults of a plan, drawn from the run's seed."""

import asyncio

from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.faults.controller_faults import ControllerFaults
from indigoworks_lab.simulation.faults.fault_counts import FaultCounts
from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.faults.fault_plan import FaultPlan
from indigoworks_lab.simulation.faults.network_faults import NetworkFaults
from indigoworks_lab.simulation.faults.operator_faults import OperatorFaults
from indigoworks_lab.simulation.faults.platform_faults import PlatformFaults
from indigoworks_lab.simulation.faults.router_faults import RouterFaults
from indigoworks_lab.simulation.faults.server_faults import ServerFaults
from indigoworks_lab.simulation.workload.operators import Operators

MIN_DURATION_S = 0.2
DENSITIES = (0.5, 1.0, 2.0, 4.0)
"""Factors on the mean pause between faults, one drawn per run: dense faults find races between
them, sparse ones let the system come far enough for the next fault to hit something."""


class FaultInjector:
    """Begins faults at random moments, several at once, and ends each after its duration."""

    def __init__(
        self, deployment: Deployment, operators: Operators, plan: FaultPlan, counts: FaultCounts
    ) -> None:
        """Prepare.

        :param counts: counts what is in fact injected; a fault without a target is not counted.
        """
        self._counts = counts
        self._plan = plan
        self._simulation = deployment.simulation
        self._random = deployment.simulation.random("faults")
        self._standing: set[asyncio.Task[None]] = set()
        self._is_over = asyncio.Event()
        controllers = ControllerFaults(deployment, self._random)
        self._groups = (
            controllers,
            RouterFaults(deployment, self._random),
            ServerFaults(deployment, self._random, controllers),
            NetworkFaults(deployment, self._random),
            PlatformFaults(deployment, self._random),
            OperatorFaults(deployment, operators, self._random),
        )

    async def run(self) -> None:
        """Inject faults until the plan's last moment, then wait until all have ended."""
        plan = self._plan
        kinds = list(plan.weights)
        weights = list(plan.weights.values())
        await asyncio.sleep(plan.first_s)
        mean_pause_s = plan.mean_pause_s * self._random.choice(DENSITIES)
        started_s = self._simulation.now_s()
        while kinds and self._simulation.now_s() < started_s + plan.last_s:
            kind = self._random.choices(kinds, weights)[0]
            task = asyncio.ensure_future(self._inject(kind))
            self._standing.add(task)
            task.add_done_callback(self._standing.discard)
            if plan.is_one_at_a_time:
                await asyncio.wait({task})
                await asyncio.sleep(plan.mean_pause_s / 2)
            await asyncio.sleep(self._random.expovariate(1 / mean_pause_s))
        self._is_over.set()
        await asyncio.gather(*self._standing)

    async def _inject(self, kind: FaultKind) -> None:
        longest_s = self._plan.max_duration_s
        duration_s = self._random.uniform(MIN_DURATION_S, self._random.uniform(1.0, longest_s))
        for group in self._groups:
            end = await group.begin(kind)
            if end is None:
                continue
            self._counts.begin(kind)
            await self._wait(duration_s)
            await end()
            self._counts.end()
            return

    async def _wait(self, duration_s: float) -> None:
        try:
            async with asyncio.timeout(duration_s):
                await self._is_over.wait()
        except TimeoutError:
            pass
