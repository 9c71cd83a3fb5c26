"""Measures one point of the scale run."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from indigoworks_lab.scale.milestone import Milestone
from indigoworks_lab.scale.point_result import PointResult
from indigoworks_lab.scale.process_usage import read_usage
from indigoworks_lab.scale.scale_deployment import ScaleDeployment
from indigoworks_lab.scale.scale_plan import ScalePlan
from indigoworks_lab.scale.scale_stopped import ScaleStopped
from indigoworks_lab.scale.scale_tree import scale_tree
from indigoworks_lab.scale.usage_meter import UsageMeter

START_TIMEOUT_S = 40.0
KNOWN_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
START_POLL_INTERVAL_S = 0.5
SETTLE_S = 1.0
ZONES_OF_A_REGION = 3

Condition = Callable[[], Awaitable[bool]]


class PointRun:
    """Takes one deployment through all steps, and fills in the result as it goes."""

    def __init__(self, deployment: ScaleDeployment, plan: ScalePlan) -> None:
        self.result = PointResult(deployment.point)
        self._deployment = deployment
        self._plan = plan
        self._point = deployment.point
        self._meter = UsageMeter(deployment)
        self._version = 0

    async def run(self) -> None:
        """Run all steps; the first that cannot be finished ends the point."""
        try:
            await self._start_servers()
            await self._assign_ranges()
            await self._start_routers()
            await self._rest()
            await self._change_settings()
            await self._lose_servers()
            await self._lose_zone()
        except ScaleStopped as stopped:
            self.result.stopped = str(stopped)

    async def _start_servers(self) -> None:
        await self._deployment.start_control()
        started_s = _now_s()
        await self._wait_for_start(self._all_registered, "registering the back ends")
        self.result.registration_s = _now_s() - started_s

    async def _all_registered(self) -> bool:
        servers = await self._deployment.admin("GET", "servers")
        if servers is not None:
            self.result.registered = len(servers["servers"])
        return self.result.registered >= self._point.servers

    async def _assign_ranges(self) -> None:
        started_s = _now_s()
        await self._wait_for_start(self._put_tree, "accepting the first settings tree")
        await self._wait_for_start(self._all_owned, "giving every range an owner")
        self.result.first_owners_s = _now_s() - started_s

    async def _all_owned(self) -> bool:
        servers = await self._deployment.admin("GET", "servers")
        if servers is None:
            return False
        owned = sum(int(each["ranges"]) for each in servers["servers"])
        return owned >= self._point.ranges

    async def _put_tree(self) -> bool:
        change: dict[str, Any] = {
            "change_id": f"scale-{self._version + 1}",
            "expected_version": self._version,
            "tree": scale_tree(self._point, self._version),
        }
        accepted = await self._deployment.admin("PUT", "settings", change)
        if accepted is None:
            return False
        self._version = int(accepted["version"])
        return True

    async def _start_routers(self) -> None:
        started_s = _now_s()
        await self._deployment.start_routers()
        await self._wait_for_start(self._all_in_force, "giving every router a whole view")
        self.result.routers_return_s = _now_s() - started_s
        traffic = await self._deployment.routers.traffic()
        self.result.routers_return_bytes = traffic.bytes_to_member / self._point.routers
        self.result.routers_return_failures = traffic.failures
        self.result.snapshot_bytes = traffic.largest_answer

    async def _all_in_force(self) -> bool:
        state = await self._deployment.routers.routers_state()
        is_whole = state.least_owned_ranges >= self._point.ranges
        return is_whole and state.in_force >= self._point.routers

    async def _rest(self) -> None:
        await asyncio.sleep(SETTLE_S)
        pid = self._deployment.platform_pid()
        started = read_usage(pid)
        for _ in range(self._plan.windows):
            self.result.resting.append(await self._meter.window(self._plan.window_s))
        used_s = read_usage(pid).processor_s - started.processor_s
        self.result.platform_cores = used_s / sum(each.seconds for each in self.result.resting)

    async def _change_settings(self) -> None:
        started = await self._meter.read()
        begun_s = _now_s()
        sent_s: dict[int, float] = {}
        for number in range(self._point.changes):
            await asyncio.sleep(max(0.0, begun_s + number / self._point.changes_per_s - _now_s()))
            asked_s = _now_s()
            if await self._put_tree():
                sent_s[self._version] = asked_s
                self.result.settings_accepted_s.append(_now_s() - asked_s)
            else:
                self.result.refused_changes += 1
        self.result.changing = await self._meter.since(started)
        for version, asked_s in sent_s.items():
            milestone = await self._known_everywhere(f"settings:{version}")
            self.result.settings_s.append(milestone.last_s - asked_s)

    async def _lose_servers(self) -> None:
        for number in range(self._point.losses):
            await asyncio.sleep(SETTLE_S)
            self.result.loss_s.append(await self._lose([number]))

    async def _lose_zone(self) -> None:
        """Lose the last third of the back ends: each service has servers of every zone."""
        await asyncio.sleep(SETTLE_S)
        last_zone = ZONES_OF_A_REGION - 1
        indexes = range(last_zone, self._point.servers, ZONES_OF_A_REGION)
        lost = [index for index in indexes if index >= self._point.losses]
        self.result.zone_loss_s = await self._lose(lost)

    async def _lose(self, indexes: list[int]) -> float:
        """Kill back ends; return the time until no router sees a range of theirs any more."""
        report = await self._deployment.servers.kill(indexes)
        newest_s = report.killed_s
        for name, lease_ends_s in report.lease_ends_s.items():
            milestone = await self._known_everywhere(f"replaced:{name}")
            newest_s = max(newest_s, milestone.last_s)
            # The routers' last knowledge comes after the first, so this finds no false fault.
            if milestone.last_s < lease_ends_s:
                self.result.early_takeovers += 1
        return newest_s - report.killed_s

    async def _known_everywhere(self, name: str) -> Milestone:
        found: list[Milestone] = []

        async def is_known() -> bool:
            state = await self._deployment.routers.routers_state()
            milestone = state.milestones.get(name, Milestone())
            found.append(milestone)
            return milestone.routers >= self._point.routers

        await self._wait(is_known, KNOWN_TIMEOUT_S, f"{name} at every router")
        return found[-1]

    async def _wait_for_start(self, condition: Condition, what: str) -> None:
        # Asked more rarely: the answers about all back ends are long.
        await self._wait(condition, START_TIMEOUT_S, what, START_POLL_INTERVAL_S)

    async def _wait(
        self,
        condition: Condition,
        timeout_s: float,
        what: str,
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if await condition():
                        return
                    await asyncio.sleep(interval_s)
        except TimeoutError:
            raise ScaleStopped(f"not done within {timeout_s} s: {what}") from None


def _now_s() -> float:
    """Return the machine's monotonic clock, which hollow processes read as well."""
    return asyncio.get_running_loop().time()
