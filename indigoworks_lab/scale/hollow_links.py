"""The scale run's side of the interface of hollow processes."""

import asyncio
from collections.abc import Sequence
from typing import Any

from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.scale.hollow_link import HollowLink
from indigoworks_lab.scale.kill_report import KillReport
from indigoworks_lab.scale.member_names import server_name
from indigoworks_lab.scale.milestone import Milestone
from indigoworks_lab.scale.routers_state import RoutersState
from indigoworks_lab.scale.scale_stopped import ScaleStopped
from indigoworks_lab.scale.traffic_count import TrafficCount


class HollowLinks:
    """The hollow processes of one kind, asked together."""

    def __init__(self, links: Sequence[HollowLink], client: JsonClient) -> None:
        self.links = tuple(links)
        self._client = client

    async def traffic(self) -> TrafficCount:
        """Return the sums over all processes."""
        total = TrafficCount()
        for state in await self._states():
            total.add(state["traffic"])
        return total

    async def routers_state(self) -> RoutersState:
        """Return counts and milestones of the hollow routers."""
        states = await self._states()
        total = RoutersState(least_owned_ranges=min(each["least_owned_ranges"] for each in states))
        for state in states:
            total.in_force += state["in_force"]
            total.traffic.add(state["traffic"])
            for name, (routers, last_s) in state["milestones"].items():
                milestone = total.milestones.setdefault(name, Milestone())
                milestone.routers += routers
                milestone.last_s = max(milestone.last_s, last_s)
        return total

    async def kill(self, indexes: Sequence[int]) -> KillReport:
        """Kill back ends in all processes."""
        reports = await asyncio.gather(*(self._kill_in(link, indexes) for link in self.links))
        lease_ends_s: dict[str, float] = {}
        for report in reports:
            lease_ends_s.update(report.lease_ends_s)
        return KillReport(min(report.killed_s for report in reports), lease_ends_s)

    async def _kill_in(self, link: HollowLink, indexes: Sequence[int]) -> KillReport:
        own = range(link.first, link.first + link.count)
        names = [server_name(index) for index in indexes if index in own]
        answer = await self._client.put(link.control, "/kill", {"names": names})
        if answer.status != 200:
            raise ScaleStopped(f"{link.process.name} did not kill its back ends: {answer}")
        return KillReport(answer.body["killed_s"], answer.body["lease_ends_s"])

    async def _states(self) -> list[dict[str, Any]]:
        return await asyncio.gather(*(self._state(link) for link in self.links))

    async def _state(self, link: HollowLink) -> dict[str, Any]:
        answer = await self._client.get(link.control, "/state")
        if answer.status != 200:
            raise ScaleStopped(f"{link.process.name} did not answer: {answer}")
        return dict(answer.body)
