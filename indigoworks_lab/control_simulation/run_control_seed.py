"""Runs one seed."""

import asyncio
import random
from collections.abc import Sequence

from detangle._config import NetConfig, SimConfig

from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.control_plan import CALM_S, ControlPlan, draw_plan
from indigoworks_lab.control_simulation.control_report import ControlReport
from indigoworks_lab.control_simulation.fault_injector import FaultInjector
from indigoworks_lab.control_simulation.request_load import RequestLoad
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop
from indigoworks_lab.simulation.core.faulty_network import FaultyNetwork
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess

MAX_STEPS = 5_000_000


def run_control_seed(seed: int, plan: ControlPlan | None = None) -> ControlReport:
    """Run a plan, or the one that the seed draws, and check it."""
    loop = make_control_loop(seed, MAX_STEPS)
    with silent_disposal():
        report = _run_on(loop, seed, plan or draw_plan(seed))
        dispose(loop)
    return report


def make_control_loop(seed: int, max_steps: int) -> FaultyLoop:
    """Return the loop of a run, on which everything happens alike in each run of a seed."""
    random.seed(seed)
    SimulatedProcess.restart_numbering()
    network = NetConfig()
    loop = FaultyLoop(SimConfig(reorder=False, max_steps=max_steps, net=network))
    loop.use_network(lambda: FaultyNetwork(loop, network, random.Random(seed)))
    return loop


def _run_on(loop: FaultyLoop, seed: int, plan: ControlPlan) -> ControlReport:
    deployment = ControlDeployment(loop, seed, plan.nodes, plan.servers, plan.hold_max_s)
    deployment.fleet.forgets_releases = plan.forgets_releases
    main = loop.create_task(_scenario(deployment, plan))
    loop.run_until_complete(main)
    audit = deployment.audit
    audit.rows.check_end()
    audit.rows.check_addresses(each.name for each in deployment.living_nodes())
    return ControlReport(
        seed=seed,
        plan=plan,
        violations=tuple(audit.violations.found),
        failures=tuple(failures(loop, main)),
        grants=audit.grants,
        begun=audit.begun,
        moves=audit.rows.tables_written,
        epochs=audit.rows.leaders,
        served_again_s=deployment.recovery.served_again_s,
        digest=audit.digest.text(),
    )


async def _scenario(deployment: ControlDeployment, plan: ControlPlan) -> None:
    deployment.start()
    run_outside(deployment.loop, RequestLoad(deployment).run())
    await asyncio.sleep(CALM_S)
    await FaultInjector(deployment, plan).run()
    await deployment.recovery.run()


def failures(loop: FaultyLoop, main: "asyncio.Task[None]") -> Sequence[str]:
    """Return the exceptions with which tasks beside the main one ended."""
    found = []
    for task in loop.tasks:
        if task is main or not task.done() or task.cancelled():
            continue
        error = task.exception()
        if error is not None:
            found.append(f"{task.get_coro()!r}: {error!r}")
    return found
