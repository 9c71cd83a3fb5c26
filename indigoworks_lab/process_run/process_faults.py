"""Faults put into a run of real processes."""

import asyncio
from collections.abc import Awaitable, Callable

from indigoworks_lab.launcher.managed_process import ManagedProcess
from indigoworks_lab.platform.platform_faults import PlatformFaults
from indigoworks_lab.process_run.process_run import ProcessRun

FREEZE_S = 4.0
"""Longer than every lease of the system."""

Fault = Callable[[ProcessRun], Awaitable[None]]


async def kill_back_end(run: ProcessRun) -> None:
    """End a back end by SIGKILL."""
    run.process("checkout-0").kill()


async def freeze_back_end(run: ProcessRun) -> None:
    """Freeze a back end for longer than its lease; then it goes on as if nothing had happened."""
    await _freeze(run.process("checkout-1"))


async def freeze_router(run: ProcessRun) -> None:
    """Freeze a router for longer than its view lease."""
    await _freeze(run.process(run.plan.routers[0].name))


async def freeze_leader(run: ProcessRun) -> None:
    """Freeze the leading controller for longer than its quorum lease."""
    await _freeze(run.process(await run.leader_name()))


async def kill_leader(run: ProcessRun) -> None:
    """End the leading controller by SIGKILL, and start it again as a new run."""
    name = await run.leader_name()
    run.process(name).kill()
    await run.process(name).wait(FREEZE_S)
    controller = next(each for each in run.plan.controllers if each.name == name)
    (await run.deployment.start_controller(controller)).unwrap()


async def kill_all_controllers(run: ProcessRun) -> None:
    """End all controllers by SIGKILL and start them again: none remembers anything."""
    for controller in run.plan.controllers:
        run.process(controller.name).kill()
    for controller in run.plan.controllers:
        await run.process(controller.name).wait(FREEZE_S)
    (await run.deployment.start_controllers()).unwrap()


async def kill_back_end_without_platform(run: ProcessRun) -> None:
    """End a back end while the platform is down, and wait until its keys are served again."""
    await run.deployment.steering.set_faults(PlatformFaults(down=True))
    run.process("checkout-2").kill()
    is_served = await run.all_keys_served()
    await run.deployment.steering.set_faults(PlatformFaults())
    if not is_served:
        raise AssertionError("the keys were not served again while the platform was down")


async def _freeze(process: ManagedProcess) -> None:
    process.freeze()
    await asyncio.sleep(FREEZE_S)
    process.thaw()


FAULTS: dict[str, Fault] = {
    "a back end is killed": kill_back_end,
    "a back end is frozen and goes on": freeze_back_end,
    "a router is frozen and goes on": freeze_router,
    "the leader is frozen and goes on": freeze_leader,
    "the leader is killed and started again": kill_leader,
    "a back end is killed while the platform is down": kill_back_end_without_platform,
    "all controllers are killed and started again": kill_all_controllers,
}
