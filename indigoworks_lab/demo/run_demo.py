"""The demo as a whole."""

import asyncio
import signal
from pathlib import Path
from random import Random

from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.client.router_caller import RouterCaller
from indigoworks_lab.demo.account import Account
from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.demo.demo_stopped import DemoStopped
from indigoworks_lab.demo.loss_step import lose_back_end
from indigoworks_lab.demo.owners_step import show_owners, wait_for_owners
from indigoworks_lab.demo.requests_step import send_requests
from indigoworks_lab.demo.settings_step import change_setting, put_first_tree
from indigoworks_lab.demo.start_step import start_control, start_traffic
from indigoworks_lab.demo.stop_step import stop_all
from indigoworks_lab.launcher.deployment import Deployment
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.plan_deployment import plan_deployment
from indigoworks_lab.launcher.sample_services import SERVICES, ZONES

STEPS = (
    start_control,
    put_first_tree,
    start_traffic,
    wait_for_owners,
    send_requests,
    show_owners,
    change_setting,
    lose_back_end,
    stop_all,
)


async def run_demo(log_directory: Path) -> int:
    """Run all steps and return the exit code: 0 where every check held, else 1."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    account = Account(lambda: loop.time() - started_s)
    _cancel_on_sigterm()
    # Ports differ between runs, so that two demos on one machine do not meet.
    plan = plan_deployment(ZONES, SERVICES, FreePorts(Random()))
    with Launcher(log_directory) as launcher:
        context = DemoContext(account, Deployment(plan, launcher), RouterCaller(), JsonClient())
        account.say(f"logs of all processes: {log_directory}")
        try:
            for step in STEPS:
                await step(context)
        except DemoStopped as stopped:
            account.say(f"cannot go on: {stopped}")
        except asyncio.CancelledError:
            account.check("the demo runs to its end", False, "stopped by SIGTERM")
    return account.conclude()


def _cancel_on_sigterm() -> None:
    # Cancelling unwinds through the launcher's context, which ends all processes.
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
