"""All hollow routers of one process."""

import asyncio
from collections.abc import Sequence
from typing import Any

from indigoworks.common.clock import Clock
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.router.controller_directory import ControllerDirectory
from indigoworks.wire.control_pb2 import Member
from indigoworks_lab.scale.hollow_router import HollowRouter
from indigoworks_lab.scale.member_names import router_name, zone_name
from indigoworks_lab.scale.milestone import Milestone
from indigoworks_lab.scale.shared_views import SharedViews
from indigoworks_lab.scale.static_machine_list import StaticMachineList
from indigoworks_lab.scale.traffic_count import TrafficCount


class HollowRouters:
    """Runs the routers `first` to `first + count - 1` of a scale run."""

    def __init__(
        self, first: int, count: int, controllers: Sequence[MachineRecord], clock: Clock
    ) -> None:
        self.traffic = TrafficCount()
        self.milestones: dict[str, Milestone] = {}
        self._views = SharedViews()
        self._clock = clock
        self._machines = StaticMachineList(controllers)
        self._routers = [self._router(index) for index in range(first, first + count)]

    async def run(self) -> None:
        """Run all routers until cancelled."""
        await asyncio.gather(*(router.run() for router in self._routers))

    def state(self) -> dict[str, Any]:
        """Return counts and milestones, for the process that steers the run."""
        owned = [router.owned_ranges for router in self._routers]
        return {
            "routers": len(self._routers),
            "in_force": sum(1 for router in self._routers if router.is_in_force),
            "least_owned_ranges": min(owned, default=0),
            "traffic": self.traffic.to_json(),
            "milestones": {
                name: [each.routers, each.last_s] for name, each in self.milestones.items()
            },
        }

    def _router(self, index: int) -> HollowRouter:
        name, zone = router_name(index), zone_name(index)
        member = Member(
            name=name,
            incarnation=f"{name}-{index:016x}",
            zone=zone,
            host="127.0.0.1",
            control_port=1,
            http_port=1,
        )
        directory = ControllerDirectory(name, zone, (), self._machines)
        return HollowRouter(
            member, directory, self._clock, self._views, self.traffic, self._milestone
        )

    def _milestone(self, name: str) -> Milestone:
        return self.milestones.setdefault(name, Milestone())
