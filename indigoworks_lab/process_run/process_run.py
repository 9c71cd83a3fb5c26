"""A deployment of real processes under load and faults."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from typing import ClassVar

from indigoworks_lab.checkers.at_most_once import check_at_most_once
from indigoworks_lab.checkers.check_history import Checker
from indigoworks_lab.checkers.effects_under_ownership import check_effects_under_ownership
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.not_run import check_not_run
from indigoworks_lab.checkers.tokens_grow import check_tokens_grow
from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.client.call_stream import CallStream
from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.launcher.deployment import Deployment
from indigoworks_lab.launcher.deployment_plan import DeploymentPlan
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.managed_process import ManagedProcess
from indigoworks_lab.launcher.plan_deployment import plan_deployment
from indigoworks_lab.launcher.sample_services import CHECKOUT, ZONES
from indigoworks_lab.launcher.sample_tree import sample_tree
from indigoworks_lab.launcher.service_plan import ServicePlan
from indigoworks_lab.process_run.call_recorder import CallRecorder
from indigoworks_lab.process_run.execution_collector import ExecutionCollector

KEYS = 60
SERVICES = (ServicePlan(CHECKOUT, servers=4, slots=2, connections=100),)
SERVED_TIMEOUT_S = 60.0
"""Bound on waiting; it ends a run that hangs and measures nothing."""

CHECKERS: tuple[Checker, ...] = (
    check_at_most_once,
    check_not_run,
    check_effects_under_ownership,
    check_tokens_grow,
)
"""The checkers whose records real processes can give."""


def plan_process_run(ports: FreePorts) -> DeploymentPlan:
    """Plan the processes of a run, at ports that `ports` gives."""
    return plan_deployment(ZONES, SERVICES, ports)


class ProcessRun:
    """Platform, 3 controllers, 3 routers and 4 back ends, called without a pause.

    :param plan: what to start; see plan_process_run.
    :cvar checkers: what judges the records.
    """

    checkers: ClassVar[Sequence[Checker]] = CHECKERS

    def __init__(self, launcher: Launcher, plan: DeploymentPlan) -> None:
        self.plan = plan
        self.launcher = launcher
        self.client = JsonClient()
        self.deployment = Deployment(self.plan, launcher)
        self._collector = ExecutionCollector(self.plan.servers, self.client)
        self.recorder = CallRecorder(self.plan.routers, CHECKOUT, KEYS)
        self._stream = CallStream(self.recorder.call)
        self._collecting: asyncio.Task[None] | None = None

    async def start(self) -> bool:
        """Start everything and the calls.

        :returns: whether every key came to be served.
        """
        for start in (self.deployment.start_platform, self.deployment.start_controllers):
            (await start()).unwrap()
        if not await becomes_true(self._put_tree, SERVED_TIMEOUT_S):
            return False
        for start in (self.deployment.start_servers, self.deployment.start_routers):
            (await start()).unwrap()
        self._collecting = asyncio.create_task(self._collector.run())
        await self._stream.__aenter__()
        return await self.all_keys_served()

    async def all_keys_served(self) -> bool:
        """Wait until every key was served by a call that began after now."""
        moment_s = asyncio.get_running_loop().time()

        async def are_served() -> bool:
            return len(self.recorder.keys_served_since(moment_s)) == KEYS

        return await becomes_true(are_served, SERVED_TIMEOUT_S)

    async def finish(self) -> Sequence[Violation]:
        """End the calls and return what the checkers find."""
        await self._stream.__aexit__(None, None, None)
        if self._collecting is not None:
            self._collecting.cancel()
        await self._collector.collect()
        return self.check()

    def check(self) -> Sequence[Violation]:
        """Return what the checkers find in what was recorded so far."""
        history = self.history()
        return [violation for checker in self.checkers for violation in checker(history)]

    def history(self) -> History:
        """Return what was recorded so far."""
        return History(
            executions=self._collector.executions,
            calls=self.recorder.calls,
            has_other_faults=True,
        )

    def outcomes(self) -> Counter[str]:
        """Return the number of calls by outcome."""
        return self._stream.outcomes()

    def foreign_answers(self) -> int:
        """Return the number of completed calls whose answer was not their own, or not whole."""
        return len(self.recorder.foreign_answers)

    def process(self, name: str) -> ManagedProcess:
        """Return the newest process started under `name`."""
        return self.launcher.processes[name]

    async def leader_name(self) -> str:
        """Return the name of the controller that leads, as the controllers tell it."""
        for controller in self.plan.controllers:
            if self.process(controller.name).exit_code() is not None:
                continue
            answer = await self.client.get(controller.http, "/admin/v1/health")
            if answer.status == 200 and answer.body["leader"] is not None:
                return str(answer.body["leader"]["name"])
        return ""

    async def newest_epoch(self) -> int:
        """Return the newest epoch in which a controller leads; 0 where none does."""
        answers = [
            await self.client.get(each.http, "/admin/v1/health") for each in self.plan.controllers
        ]
        led = [each.body for each in answers if each.status == 200 and each.body["leader"]]
        return max((int(body["term"]) for body in led), default=0)

    async def _put_tree(self) -> bool:
        fields = {"change_id": "first", "expected_version": 0, "tree": sample_tree()}
        address = self.plan.controllers[0].http
        return (await self.client.put(address, "/admin/v1/settings", fields)).status == 200
