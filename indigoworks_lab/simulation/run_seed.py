"""Runs one seed: the real routers and controllers on a simulated network, with faults."""

import asyncio
import hashlib
import random
from collections import Counter
from collections.abc import Sequence
from typing import Any

from detangle._config import NetConfig, SimConfig

from indigoworks_lab.checkers.check_history import check_history
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.served_again import served_again
from indigoworks_lab.checkers.served_at_the_end import check_served_at_the_end
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop
from indigoworks_lab.simulation.core.faulty_network import FaultyNetwork
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.faults.fault_counts import FaultCounts
from indigoworks_lab.simulation.faults.fault_injector import FaultInjector
from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.run_plan import RunPlan
from indigoworks_lab.simulation.run_report import RunReport
from indigoworks_lab.simulation.simulation import Simulation
from indigoworks_lab.simulation.workload.assignment_sampler import AssignmentSampler
from indigoworks_lab.simulation.workload.callers import Callers
from indigoworks_lab.simulation.workload.operators import Operators
from indigoworks_lab.simulation.workload.recorder import Recorder

MAX_STEPS = 20_000_000
TCP_TIMEOUT_S = 10.0
RETRANSMIT_INTERVAL_S = 0.1
QUIET_CHECK_S = 2.0
STOPPING_S = 4.0
"""Longest time that the callers take for their last requests, after the last check."""

FIRST_SETTINGS_WITHIN_S = 20.0
PLANNED_STOPS = frozenset(
    {
        FaultKind.CONTROLLER_STOPPED,
        FaultKind.LEADER_STOPPED,
        FaultKind.ROUTER_STOPPED,
        FaultKind.SERVER_DRAINED,
    }
)


def run_seed(seed: int, plan: RunPlan) -> RunReport:
    """Run `plan` under `seed` and check its histories."""
    random.seed(seed)
    SimulatedProcess.restart_numbering()
    network = NetConfig(tcp_timeout=TCP_TIMEOUT_S, retransmit_interval=RETRANSMIT_INTERVAL_S)
    loop = FaultyLoop(SimConfig(reorder=False, max_steps=MAX_STEPS, net=network))
    with silent_disposal():
        report = _run_on(loop, network, seed, plan)
        dispose(loop)
        return report


def _run_on(loop: FaultyLoop, config: NetConfig, seed: int, plan: RunPlan) -> RunReport:
    loop.use_network(lambda: FaultyNetwork(loop, config, random.Random(f"{seed}:network")))
    simulation = Simulation(seed, loop, loop.net, Recorder(loop))
    counts = FaultCounts()
    main = loop.create_task(_scenario(simulation, plan, counts))
    loop.run_until_complete(main)
    history = simulation.recorder.history
    end_s = simulation.now_s()
    history.has_other_faults = not PLANNED_STOPS.issuperset(counts.by_kind)
    violations = [
        *check_history(history),
        *check_served_at_the_end(history, end_s, plan.serves_within_s + STOPPING_S),
    ]
    return RunReport(
        seed=seed,
        virtual_s=end_s,
        steps=loop.steps,
        violations=violations,
        failures=_failures(loop, main),
        faults=dict(counts.by_kind),
        most_faults_at_once=counts.most_at_once,
        served_again=served_again(history),
        calls_by_outcome=_outcomes(history),
        executions=len(history.executions),
        settings_accepted=sum(1 for change in history.settings_changes if change.is_accepted),
        digest=hashlib.sha256(repr(history).encode()).hexdigest()[:16],
    )


async def _scenario(simulation: Simulation, plan: RunPlan, counts: FaultCounts) -> None:
    deployment = Deployment(simulation, plan.shape)
    deployment.start()
    operators = Operators(deployment)
    async with asyncio.timeout(FIRST_SETTINGS_WITHIN_S):
        await operators.put_first_settings()
    sampling = asyncio.ensure_future(AssignmentSampler(deployment).run())
    callers = Callers(deployment)
    callers.start()
    injector = FaultInjector(deployment, operators, plan.faults, counts)
    await injector.run()
    await _wait_until_served(simulation, plan)
    await callers.stop()
    sampling.cancel()


async def _wait_until_served(simulation: Simulation, plan: RunPlan) -> None:
    """Wait for the quiet time, and longer while some key is not served."""
    begun_s = simulation.now_s()
    await asyncio.sleep(plan.quiet_s)
    while simulation.now_s() < begun_s + plan.max_quiet_s:
        now_s = simulation.now_s()
        if not check_served_at_the_end(simulation.recorder.history, now_s, plan.serves_within_s):
            return
        await asyncio.sleep(QUIET_CHECK_S)


def _failures(loop: FaultyLoop, main: "asyncio.Task[None]") -> Sequence[str]:
    found = []
    for task in loop.tasks:
        if task is main or not task.done() or task.cancelled():
            continue
        error = task.exception()
        if error is not None:
            found.append(f"{loop.label(task)}: {error!r}")
    found += [_describe(context) for context in loop.unhandled]
    return found


def _describe(context: dict[str, Any]) -> str:
    return f"{context.get('message')}: {context.get('exception')!r}"


def _outcomes(history: History) -> dict[str, int]:
    names = [call.outcome.value if call.outcome is not None else "none" for call in history.calls]
    return dict(Counter(names))
