"""Faults put into a run of real processes."""

import asyncio
from collections.abc import Awaitable, Callable

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.launcher.managed_process import ManagedProcess
from indigoworks_lab.launcher.sample_services import CHECKOUT
from indigoworks_lab.platform.platform_faults import PlatformFaults
from indigoworks_lab.process_run.outage_check import faults_of_outage
from indigoworks_lab.process_run.owner_reader import newest_ranges
from indigoworks_lab.process_run.process_run import SERVED_TIMEOUT_S, ProcessRun

FREEZE_S = 5.0
"""Longer than every lease of the system."""

HELD_S = 3.0
"""What is surely left of the leader's lease, renewed every 0.5 s, when an outage begins."""

LOST_SERVER = "checkout-2"

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
    """Freeze the leading controller for longer than its leader lease."""
    await _freeze(run.process(await run.leader_name()))


async def kill_leader(run: ProcessRun) -> None:
    """End the leading controller by SIGKILL, and start it again as a new run."""
    name = await run.leader_name()
    run.process(name).kill()
    await run.process(name).wait(FREEZE_S)
    controller = next(each for each in run.plan.controllers if each.name == name)
    (await run.deployment.start_controller(controller)).unwrap()


async def kill_all_controllers(run: ProcessRun) -> None:
    """End all controllers by SIGKILL and start them again: none remembers anything.

    A later epoch must lead.
    """
    before = await run.newest_epoch()
    for controller in run.plan.controllers:
        run.process(controller.name).kill()
    for controller in run.plan.controllers:
        await run.process(controller.name).wait(FREEZE_S)
    (await run.deployment.start_controllers()).unwrap()

    async def is_later() -> bool:
        return await run.newest_epoch() > before

    if not await becomes_true(is_later, SERVED_TIMEOUT_S):
        raise AssertionError(f"no epoch after {before} leads")


async def kill_back_end_without_platform(run: ProcessRun) -> None:
    """End a back end while the platform is down, for longer than the leader holds.

    As long as the leader holds, calls on the keys of the other back ends must complete; after the
    outage, calls on all keys. See faults_of_outage.
    """
    moment_s = asyncio.get_running_loop().time()
    await run.deployment.steering.set_faults(PlatformFaults(down=True))
    run.process(LOST_SERVER).kill()
    await asyncio.sleep(HELD_S)
    calls = [call for call in run.recorder.calls if call.invoked_s >= moment_s]
    controllers = [each.http for each in run.plan.controllers]
    ranges = await newest_ranges(run.client, controllers, CHECKOUT)
    await asyncio.sleep(FREEZE_S - HELD_S)
    await run.deployment.steering.set_faults(PlatformFaults())
    faults = faults_of_outage(calls, ranges, LOST_SERVER)
    if faults:
        raise AssertionError("\n".join(faults))
    if not await run.all_keys_served():
        raise AssertionError("the keys were not served again after the outage")


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
