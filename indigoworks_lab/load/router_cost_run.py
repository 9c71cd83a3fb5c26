"""Measures the processor time of routers in a started deployment."""

import os
from collections import defaultdict
from dataclasses import replace
from pathlib import Path

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.load.counted_load import CountedLoad
from indigoworks_lab.load.hop_deployment import SERVICE
from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.hop_target import HopTarget
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.process_cpu import process_cpu_s
from indigoworks_lab.load.profiled_router import END_SIGNAL, START_SIGNAL
from indigoworks_lab.load.router_cost_plan import RouterCostPlan
from indigoworks_lab.load.router_cost_report import RouterCostReport
from indigoworks_lab.load.router_profile import RouterProfile

US_PER_S = 1_000_000
WARM_UP_REQUESTS = 300
PROFILE_TIMEOUT_S = 10.0


class RouterCostRun:
    """Sends the same requests along each path in turn.

    The number of requests is fixed and processor time is counted, not the time that passes: other
    work on the machine disturbs that least.

    :param profile_files: where each router writes its profile, by role.
    """

    def __init__(
        self,
        plan: RouterCostPlan,
        targets: dict[HopPath, HopTarget],
        profile_files: dict[str, Path],
    ) -> None:
        self._plan = plan
        self._targets = targets
        self._profile_files = profile_files
        self._rounds: dict[HopPath, dict[str, list[float]]] = {
            path: defaultdict(list) for path in targets
        }
        self._parts = 0
        self._uncompleted = 0

    async def warm_up(self) -> None:
        """Send some requests that are not measured: a new back end is given few at first."""
        for hop in self._targets.values():
            await self._send(hop, WARM_UP_REQUESTS)

    async def run_round(self) -> None:
        """Measure each path once."""
        for path, hop in self._targets.items():
            for role, cpu_us in (await self._measure(hop)).items():
                self._rounds[path][role].append(cpu_us)

    async def report(self) -> RouterCostReport:
        """Return the rounds so far, with profiles where the plan asks for them."""
        return RouterCostReport(
            rounds_us={
                path: {role: tuple(figures) for role, figures in roles.items()}
                for path, roles in self._rounds.items()
            },
            profiles=await self._profiles() if self._plan.is_profiled else {},
            uncompleted=self._uncompleted,
        )

    async def _measure(self, hop: HopTarget) -> dict[str, float]:
        before_s = {role: process_cpu_s(pid) for role, pid in hop.pids.items()}
        await self._send(hop, self._plan.requests)
        spent_s = {role: process_cpu_s(pid) - before_s[role] for role, pid in hop.pids.items()}
        return {role: s * US_PER_S / self._plan.requests for role, s in spent_s.items()}

    async def _profiles(self) -> dict[HopPath, dict[str, RouterProfile]]:
        return {path: await self._profile(hop) for path, hop in self._targets.items()}

    async def _profile(self, hop: HopTarget) -> dict[str, RouterProfile]:
        files = {role: file for role, file in self._profile_files.items() if role in hop.pids}
        for role, file in files.items():
            file.unlink(missing_ok=True)
            os.kill(hop.pids[role], START_SIGNAL)
        await self._send(hop, self._plan.requests)
        for role in files:
            os.kill(hop.pids[role], END_SIGNAL)
        return {role: await self._read(file) for role, file in files.items()}

    async def _read(self, file: Path) -> RouterProfile:
        async def is_written() -> bool:
            return _exists(file)

        if not await becomes_true(is_written, PROFILE_TIMEOUT_S):
            raise AssertionError(f"no profile was written to {file}")
        return RouterProfile.read(file, self._plan.requests)

    async def _send(self, hop: HopTarget, requests: int) -> None:
        load = CountedLoad(self._load_plan(), requests, hop.target)
        self._uncompleted += requests - await load.run(self._plan.callers)

    def _load_plan(self) -> LoadPlan:
        plan = LoadPlan(service=SERVICE, rate_per_s=1.0, duration_s=0.0, seed=self._plan.seed)
        # The same requests each time, but under new ids: a router may know the old ones.
        self._parts += 1
        return replace(plan, run_id=f"cost-{self._parts}")


def _exists(file: Path) -> bool:
    return file.exists()
