"""The command `indigoworks-lab router_cost`."""

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

from result import Err, Ok, Result

from indigoworks.common.clock import LoopClock
from indigoworks.common.errors import IndigoworksError
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.load.hop_cost_command import BACK_END, DISPATCHER, FORWARDER
from indigoworks_lab.load.hop_cost_plan import HopCostPlan
from indigoworks_lab.load.hop_deployment import ROUTED, HopDeployment, plan_hops
from indigoworks_lab.load.hop_dispatcher import find_dispatcher
from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.hop_target import HopTarget
from indigoworks_lab.load.profiling_launcher import ProfilingLauncher
from indigoworks_lab.load.router_cost_comparison import OTHER, THIS, RouterCostComparison
from indigoworks_lab.load.router_cost_plan import RouterCostPlan
from indigoworks_lab.load.router_cost_run import RouterCostRun
from indigoworks_lab.load.router_target import RouterTarget

EXIT_DONE = 0
EXIT_FAILED = 1


def run_router_cost_command(
    plan: RouterCostPlan, log_directory: Path, json_file: Path | None
) -> int:
    """Start the processes, measure, print the table and return the exit code.

    :param json_file: gets the whole report as JSON; None writes none.
    """
    result = asyncio.run(_run(plan, log_directory))
    if result.is_err():
        print(result.unwrap_err())
        return EXIT_FAILED
    comparison = result.unwrap()
    if json_file is not None:
        json_file.write_text(comparison.model_dump_json(indent=2) + "\n")
    print(comparison.as_text())
    return EXIT_DONE if comparison.uncompleted == 0 else EXIT_FAILED


async def _run(
    plan: RouterCostPlan, log_directory: Path
) -> Result[RouterCostComparison, IndigoworksError]:
    checkouts = {OTHER: plan.against} if plan.against is not None else {}
    runs: dict[str, RouterCostRun] = {}
    async with AsyncExitStack() as started:
        for name, checkout in {**checkouts, THIS: None}.items():
            launcher = started.enter_context(ProfilingLauncher(log_directory / name, checkout))
            run = await _start(plan, launcher, started)
            if isinstance(run, Err):
                return run
            runs[name] = run.unwrap()
        return Ok(await _measure(plan, runs))


async def _measure(plan: RouterCostPlan, runs: dict[str, RouterCostRun]) -> RouterCostComparison:
    for run in runs.values():
        await run.warm_up()
    # Turns, because the load of the machine drifts: each round sees all versions alike.
    for _ in range(plan.rounds):
        for run in runs.values():
            await run.run_round()
    return RouterCostComparison(reports={name: await run.report() for name, run in runs.items()})


async def _start(
    plan: RouterCostPlan, launcher: ProfilingLauncher, started: AsyncExitStack
) -> Result[RouterCostRun, IndigoworksError]:
    hops = HopCostPlan(seed=plan.seed)
    deployment = HopDeployment(hops, plan_hops(hops, FreePorts(Random())), launcher)
    ready = await deployment.start()
    if ready.is_err():
        return Err(ready.unwrap_err())
    node = next(iter(deployment.routers.values())).http
    found = await find_dispatcher(node, ROUTED)
    if found.is_err():
        return Err(found.unwrap_err())
    dispatcher = found.unwrap()
    (forwarder,) = (name for name in deployment.routers if name != dispatcher)
    files = {
        DISPATCHER: launcher.profile_file(dispatcher),
        FORWARDER: launcher.profile_file(forwarder),
    }
    targets = _targets(deployment, dispatcher, forwarder)
    for hop in targets.values():
        started.callback(hop.target.close)
    return Ok(RouterCostRun(plan, targets, files))


def _targets(
    deployment: HopDeployment, dispatcher: str, forwarder: str
) -> dict[HopPath, HopTarget]:
    clock = LoopClock()
    served = {
        BACK_END: deployment.process(ROUTED).pid,
        DISPATCHER: deployment.process(dispatcher).pid,
    }
    forwarded = {**served, FORWARDER: deployment.process(forwarder).pid}
    routers = deployment.routers
    return {
        HopPath.DISPATCHER: HopTarget(RouterTarget((routers[dispatcher].http,), clock), served),
        HopPath.FORWARDED: HopTarget(RouterTarget((routers[forwarder].http,), clock), forwarded),
    }
