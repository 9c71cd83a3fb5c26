"""Step: start the processes."""

import asyncio
from collections.abc import Awaitable

from result import Err, Result

from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.demo.demo_stopped import DemoStopped
from indigoworks_lab.launcher.launcher_errors import ProcessNotReady

Start = Awaitable[Result[None, ProcessNotReady]]


async def start_control(context: DemoContext) -> None:
    """Start platform and controllers."""
    context.account.title("Starting the platform and 3 controllers, one in each zone")
    await _start(context, "the platform answers", context.deployment.start_platform())
    await _start(context, "the controllers answer", context.deployment.start_controllers())


async def start_traffic(context: DemoContext) -> None:
    """Start back ends and routers."""
    servers = len(context.plan.servers)
    context.account.title(f"Starting {servers} back ends and 3 routers, one in each zone")
    await asyncio.gather(
        _start(context, "the back ends answer", context.deployment.start_servers()),
        _start(context, "the routers answer", context.deployment.start_routers()),
    )
    for process in context.deployment.launcher.processes.values():
        context.account.say(f"pid {process.pid:>7}  {process.name}")


async def _start(context: DemoContext, claim: str, start: Start) -> None:
    outcome = await start
    context.account.check(claim, outcome.is_ok(), outcome.err())
    if isinstance(outcome, Err):
        raise DemoStopped(claim)
