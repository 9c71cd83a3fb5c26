"""Step: planned stop of everything, with requests in flight."""

import asyncio
from collections.abc import Sequence

from indigoworks_lab.client.call_answer import CallAnswer
from indigoworks_lab.client.call_stream import CallStream
from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.launcher.managed_process import ManagedProcess
from indigoworks_lab.launcher.sample_services import CATALOGUE

STOP_TIMEOUT_S = 20.0
LOAD_BEFORE_STOP_S = 0.3
UNCUT_OUTCOMES = frozenset({"completed", "not-run", "refused"})


async def stop_all(context: DemoContext) -> None:
    """Stop routers under load, then controllers, then the rest, each by SIGTERM."""
    context.account.title("Stopping everything (SIGTERM), with requests in flight")
    plan = context.plan
    first, *other_routers = (router.name for router in plan.routers)
    await _stop_router_under_load(context, first)
    await _stop(context, "the other routers exit with 0", other_routers)
    controllers = [controller.name for controller in plan.controllers]
    await _stop(context, "every controller exits with 0", controllers)
    running = context.deployment.launcher.processes
    servers = [each.name for each in plan.servers if running[each.name].exit_code() is None]
    claim = f"the {len(servers)} remaining back ends and the platform exit with 0"
    await _stop(context, claim, [*servers, "platform"])


async def _stop_router_under_load(context: DemoContext, name: str) -> None:
    router = context.plan.routers[0].http

    async def read(number: int) -> CallAnswer:
        return await context.caller.call(router, "GET", CATALOGUE, f"item-{number}")

    async with CallStream(read) as stream:
        await asyncio.sleep(LOAD_BEFORE_STOP_S)
        completed_before = stream.outcomes()["completed"]
        await _stop(context, "a router under load exits with 0", [name])
    outcomes = stream.outcomes()
    context.account.check(
        "it cut no request: " + stream.outcome_text(),
        completed_before > 0 and set(outcomes) <= UNCUT_OUTCOMES,
        [each for each in stream.answers if each.outcome not in UNCUT_OUTCOMES],
    )


async def _stop(context: DemoContext, claim: str, names: Sequence[str]) -> None:
    started_s = asyncio.get_running_loop().time()
    processes = [context.deployment.launcher.processes[name] for name in names]
    for process in processes:
        process.terminate()
    codes = await asyncio.gather(*(_exit_code(process) for process in processes))
    elapsed_s = asyncio.get_running_loop().time() - started_s
    context.account.check(
        f"{claim} ({elapsed_s:.1f} s)",
        all(code == 0 for code in codes),
        dict(zip(names, codes, strict=True)),
    )


async def _exit_code(process: ManagedProcess) -> int | str:
    ended = await process.wait(STOP_TIMEOUT_S)
    return ended.unwrap() if ended.is_ok() else "still running"
