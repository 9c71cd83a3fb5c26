"""The command `indigoworks-lab hop-cost`."""

import asyncio
from pathlib import Path
from random import Random

from result import Err, Ok, Result

from indigoworks.common.clock import LoopClock
from indigoworks.common.errors import IndigoworksError
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.load.backend_target import BackendTarget
from indigoworks_lab.load.direct_lease import DirectLease
from indigoworks_lab.load.hop_cost_plan import HopCostPlan
from indigoworks_lab.load.hop_cost_report import HopCostReport
from indigoworks_lab.load.hop_cost_run import HopCostRun
from indigoworks_lab.load.hop_deployment import DIRECT, ROUTED, HopDeployment, plan_hops
from indigoworks_lab.load.hop_dispatcher import find_dispatcher
from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.hop_target import HopTarget
from indigoworks_lab.load.router_target import RouterTarget

EXIT_DONE = 0
EXIT_FAILED = 1
BACK_END = "back end"
DISPATCHER = "dispatcher"
FORWARDER = "forwarding router"


def run_hop_cost_command(plan: HopCostPlan, log_directory: Path, json_file: Path | None) -> int:
    """Start the processes, measure, print the table and return the exit code.

    :param json_file: gets the whole report as JSON; None writes none.
    """
    result = asyncio.run(_run(plan, log_directory))
    if result.is_err():
        print(result.unwrap_err())
        return EXIT_FAILED
    report = result.unwrap()
    if json_file is not None:
        json_file.write_text(report.model_dump_json(indent=2) + "\n")
    print(report.as_text())
    return EXIT_DONE


async def _run(plan: HopCostPlan, log_directory: Path) -> Result[HopCostReport, IndigoworksError]:
    with Launcher(log_directory) as launcher:
        deployment = HopDeployment(plan, plan_hops(plan, FreePorts(Random())), launcher)
        started = await deployment.start()
        if started.is_err():
            return Err(started.unwrap_err())
        return await _measure(plan, deployment)


async def _measure(
    plan: HopCostPlan, deployment: HopDeployment
) -> Result[HopCostReport, IndigoworksError]:
    node = next(iter(deployment.routers.values())).http
    found = await find_dispatcher(node, ROUTED)
    if found.is_err():
        return Err(found.unwrap_err())
    clock = LoopClock()
    lease = DirectLease(deployment.servers[DIRECT].http, clock)
    leased = await lease.start()
    if leased.is_err():
        return Err(leased.unwrap_err())
    direct = BackendTarget(deployment.servers[DIRECT].http, leased.unwrap(), clock)
    targets = _targets(deployment, found.unwrap(), direct, clock)
    try:
        return Ok(await HopCostRun(plan, targets, clock).run())
    finally:
        await lease.stop()
        for hop in targets.values():
            hop.target.close()


def _targets(
    deployment: HopDeployment, dispatcher: str, direct: BackendTarget, clock: LoopClock
) -> dict[HopPath, HopTarget]:
    (forwarder,) = (name for name in deployment.routers if name != dispatcher)
    served = {
        BACK_END: deployment.process(ROUTED).pid,
        DISPATCHER: deployment.process(dispatcher).pid,
    }
    forwarded = {**served, FORWARDER: deployment.process(forwarder).pid}
    routers = deployment.routers
    return {
        HopPath.DIRECT: HopTarget(direct, {BACK_END: deployment.process(DIRECT).pid}),
        HopPath.DISPATCHER: HopTarget(RouterTarget((routers[dispatcher].http,), clock), served),
        HopPath.FORWARDED: HopTarget(RouterTarget((routers[forwarder].http,), clock), forwarded),
    }
