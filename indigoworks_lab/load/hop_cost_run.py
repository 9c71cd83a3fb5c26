"""Measures the paths of a started deployment."""

from dataclasses import replace

from indigoworks.common.clock import Clock
from indigoworks_lab.load.closed_loop import ClosedLoop
from indigoworks_lab.load.hop_cost_plan import HopCostPlan
from indigoworks_lab.load.hop_cost_report import HopCostReport
from indigoworks_lab.load.hop_deployment import SERVICE
from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.hop_target import HopTarget
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.open_loop import OpenLoop
from indigoworks_lab.load.path_round import PathRound
from indigoworks_lab.load.process_cpu import process_cpu_s

US_PER_S = 1_000_000


class HopCostRun:
    """Sends the same load along each path in turn, round after round.

    Turns, because the load of the machine drifts: each round sees all paths under like conditions.
    """

    def __init__(self, plan: HopCostPlan, targets: dict[HopPath, HopTarget], clock: Clock) -> None:
        self._plan = plan
        self._targets = targets
        self._clock = clock
        self._parts = 0

    async def run(self) -> HopCostReport:
        """Measure all rounds."""
        rounds: dict[HopPath, list[PathRound]] = {path: [] for path in HopPath}
        for _ in range(self._plan.rounds):
            for path in HopPath:
                rounds[path].append(await self._measure(self._targets[path]))
        return HopCostReport.of(rounds)

    async def _measure(self, hop: HopTarget) -> PathRound:
        before_s = _cpu_s(hop)
        open_report = await OpenLoop(self._load_plan(), hop.target, self._clock).run()
        after_s = _cpu_s(hop)
        sent_s = self._plan.warm_up_s + self._plan.part_s
        sent = open_report.offered * sent_s / self._plan.part_s
        closed_loop = ClosedLoop(self._load_plan(), self._plan.callers, hop.target, self._clock)
        return PathRound(
            open_loop=open_report,
            closed_loop=await closed_loop.run(),
            cpu_us_per_request={
                role: (after_s[role] - before_s[role]) * US_PER_S / sent for role in hop.pids
            },
        )

    def _load_plan(self) -> LoadPlan:
        plan = LoadPlan(
            service=SERVICE,
            rate_per_s=self._plan.rate_per_s,
            duration_s=self._plan.part_s,
            warm_up_s=self._plan.warm_up_s,
            seed=self._plan.seed,
        )
        # The same requests each time, but under new ids: a router may know the old ones.
        self._parts += 1
        return replace(plan, run_id=f"hop-{self._parts}")


def _cpu_s(hop: HopTarget) -> dict[str, float]:
    return {role: process_cpu_s(pid) for role, pid in hop.pids.items()}
