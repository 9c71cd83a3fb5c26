"""A router without callers."""

import asyncio
from collections.abc import Callable

from indigoworks.common.clock import Clock
from indigoworks.router.controller_directory import ControllerDirectory
from indigoworks.router.routing_view import RoutingView
from indigoworks.wire.control_pb2 import Member
from indigoworks_lab.scale.hollow_follower import HollowFollower
from indigoworks_lab.scale.milestone import Milestone
from indigoworks_lab.scale.shared_views import SharedViews
from indigoworks_lab.scale.traffic_count import TrafficCount

MilestoneOf = Callable[[str], Milestone]
"""Finds or makes a milestone by name."""


class HollowRouter:
    """Follows the view as a router does and notes when it learns what."""

    def __init__(
        self,
        member: Member,
        directory: ControllerDirectory,
        clock: Clock,
        views: SharedViews,
        traffic: TrafficCount,
        milestone: MilestoneOf,
    ) -> None:
        self._follower = HollowFollower(member, directory, clock, views, traffic)
        self._directory = directory
        self._clock = clock
        self._views = views
        self._milestone = milestone
        self._settings_version = 0
        self._owners: frozenset[str] = frozenset()

    @property
    def is_in_force(self) -> bool:
        """Tell whether the view's lease is valid."""
        return self._follower.in_force() is not None

    @property
    def owned_ranges(self) -> int:
        """Return the number of ranges that have an owner in the view."""
        view = self._follower.latest
        return 0 if view is None else self._views.summary(view).owned_ranges

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._directory.refresh()
        await asyncio.gather(self._follower.run(), self._watch())

    async def _watch(self) -> None:
        while True:
            self._note(await self._follower.next_change())

    def _note(self, view: RoutingView) -> None:
        now_s = self._clock.now()
        self._note_settings(view.settings_version, now_s)
        owners = self._views.summary(view).owners
        for name in self._owners - owners:
            self._milestone(f"replaced:{name}").reach(now_s)
        self._owners = owners

    def _note_settings(self, version: int, now_s: float) -> None:
        for passed in range(self._settings_version + 1, version + 1):
            self._milestone(f"settings:{passed}").reach(now_s)
        self._settings_version = max(self._settings_version, version)
