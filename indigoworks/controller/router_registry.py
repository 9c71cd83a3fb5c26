"""Which routers follow the views of this group."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from indigoworks.admin.router_presence import RouterPresence
from indigoworks.common.clock import Clock
from indigoworks.controller.live_routers import LiveRouters
from indigoworks.wire import control_pb2
from indigoworks.wire.control_pb2 import Member, RangeLoad, RouterReport, ViewRequest

LIVE_ROUTER_S = 1.0
"""A router that polled within this time may be chosen as a dispatcher."""

LIST_VALID_S = 0.1
"""Time for which a list of live routers is used again: each of many polls a second needs it."""

LOAD_VALID_S = 3.0
"""Time for which the loads count that a router reported with its last poll."""

FORGET_ROUTER_S = 10.0
"""A router that has not polled for this time is forgotten; its view lease has lapsed long ago."""


@dataclass(frozen=True)
class _Sighting:
    """The newest poll of a router, and when it was on the own clock."""

    member: Member
    settings_version: int
    view_version: int
    polled_at_s: float
    loads: tuple[RangeLoad, ...] = ()


class RouterRegistry:
    """Routers that poll this controller, and those that other controllers report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._local: dict[str, _Sighting] = {}
        self._reported: dict[str, _Sighting] = {}
        self._live_list: LiveRouters | None = None
        self._live_list_at_s = clock.now()

    def record_poll(self, request: ViewRequest) -> None:
        """Record that a router asked this controller for its view."""
        if request.is_router:
            earlier = self._local.get(request.requester.incarnation)
            # Loads come with some polls only; those of the last report stand until the next.
            loads = tuple(request.loads) or (earlier.loads if earlier is not None else ())
            self._local[request.requester.incarnation] = _Sighting(
                request.requester,
                request.settings_version,
                request.known_version,
                self._clock.now(),
                loads,
            )

    def record_report(self, report: RouterReport) -> None:
        """Record the routers that another controller reports."""
        now_s = self._clock.now()
        for each in report.routers:
            sighting = _Sighting(
                each.router,
                each.settings_version,
                each.view_version,
                now_s - each.age_s,
                tuple(each.loads),
            )
            _keep_newest(self._reported, sighting)

    def report(self, reporter: Member) -> RouterReport:
        """Return the routers that poll this controller, for the others."""
        now_s = self._clock.now()
        self._forget_old()
        report = RouterReport(reporter=reporter)
        for sighting in self._local.values():
            report.routers.append(
                control_pb2.RouterPresence(
                    router=sighting.member,
                    settings_version=sighting.settings_version,
                    view_version=sighting.view_version,
                    age_s=now_s - sighting.polled_at_s,
                    loads=sighting.loads,
                )
            )
        return report

    def presences(self) -> Sequence[RouterPresence]:
        """Return all routers known, by name."""
        now_s = self._clock.now()
        return [
            RouterPresence(
                each.member,
                each.settings_version,
                each.view_version,
                now_s - each.polled_at_s,
            )
            for each in self._newest_sightings()
        ]

    def live_routers(self) -> Sequence[Member]:
        """Return the routers that polled lately, by name."""
        newest_s = self._clock.now() - LIVE_ROUTER_S
        return [each.member for each in self._newest_sightings() if each.polled_at_s >= newest_s]

    def range_loads(self) -> Mapping[tuple[str, int], float]:
        """Return the busy slots of each range, by service and first place, over all routers."""
        loads: defaultdict[tuple[str, int], float] = defaultdict(float)
        newest_s = self._clock.now() - LOAD_VALID_S
        for sighting in self._newest_sightings():
            if sighting.polled_at_s >= newest_s:
                for each in sighting.loads:
                    loads[(each.service, each.start)] += each.busy_slots
        return loads

    def live_list(self) -> LiveRouters:
        """Return the live routers with the version of their list; at most LIST_VALID_S old."""
        now_s = self._clock.now()
        if self._live_list is None or now_s - self._live_list_at_s >= LIST_VALID_S:
            routers = self.live_routers()
            self._live_list = LiveRouters(tuple(routers), routers_version(routers))
            self._live_list_at_s = now_s
        return self._live_list

    def _newest_sightings(self) -> Sequence[_Sighting]:
        self._forget_old()
        merged = dict(self._reported)
        for sighting in self._local.values():
            _keep_newest(merged, sighting)
        return sorted(merged.values(), key=lambda each: (each.member.name, each.polled_at_s))

    def _forget_old(self) -> None:
        oldest_s = self._clock.now() - FORGET_ROUTER_S
        for sightings in (self._local, self._reported):
            for incarnation, sighting in list(sightings.items()):
                if sighting.polled_at_s < oldest_s:
                    del sightings[incarnation]


def routers_version(routers: Sequence[Member]) -> int:
    """Return a hash of the list, the same on every controller; never 0."""
    content = "\n".join(member.incarnation for member in routers)
    return xxhash.xxh64_intdigest(content.encode("utf-8")) | 1


def _keep_newest(sightings: dict[str, _Sighting], sighting: _Sighting) -> None:
    known = sightings.get(sighting.member.incarnation)
    if known is None or known.polled_at_s < sighting.polled_at_s:
        sightings[sighting.member.incarnation] = sighting
