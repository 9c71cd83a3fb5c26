"""Registry of the routers that poll views from this control group."""

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
"""A router that polled within this time is live and may be chosen as a server's dispatcher: the
router that sends the requests to that server."""

LIST_VALID_S = 0.1
"""Time for which the list of live routers is cached: every poll needs it, many times a second."""

LOAD_VALID_S = 3.0
"""Time since a router's last poll for which the loads that it last reported are used, whichever
poll reported them."""

ROUTER_RETENTION_S = 10.0
"""A router that has not polled for this time is removed; its view lease lapsed long before."""


@dataclass(frozen=True)
class _RouterPoll:
    """The latest poll of a router.

    :ivar polled_at_s: reading of this controller's clock.
    """

    member: Member
    settings_version: int
    view_version: int
    polled_at_s: float
    loads: tuple[RangeLoad, ...] = ()


class RouterRegistry:
    """Routers that poll this controller, and routers that other controllers report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._local: dict[str, _RouterPoll] = {}
        self._reported: dict[str, _RouterPoll] = {}
        self._live_list: LiveRouters | None = None
        self._live_list_at_s = clock.now()

    def record_poll(self, request: ViewRequest) -> None:
        """Record a view poll if a router sent it."""
        if request.is_router:
            earlier = self._local.get(request.requester.incarnation)
            # Only some polls carry loads; the last reported loads stay in use until the next ones.
            loads = tuple(request.loads) or (earlier.loads if earlier is not None else ())
            self._local[request.requester.incarnation] = _RouterPoll(
                request.requester,
                request.settings_version,
                request.known_version,
                self._clock.now(),
                loads,
            )

    def record_report(self, report: RouterReport) -> None:
        """Record the routers reported by another controller."""
        now_s = self._clock.now()
        for each in report.routers:
            poll = _RouterPoll(
                each.router,
                each.settings_version,
                each.view_version,
                now_s - each.age_s,
                tuple(each.loads),
            )
            _keep_latest(self._reported, poll)

    def report(self, reporter: Member) -> RouterReport:
        """Return the report of local routers for the other controllers."""
        now_s = self._clock.now()
        self._remove_expired()
        report = RouterReport(reporter=reporter)
        for poll in self._local.values():
            report.routers.append(
                control_pb2.RouterPresence(
                    router=poll.member,
                    settings_version=poll.settings_version,
                    view_version=poll.view_version,
                    age_s=now_s - poll.polled_at_s,
                    loads=poll.loads,
                )
            )
        return report

    def presences(self) -> Sequence[RouterPresence]:
        """Return all known routers, sorted by name."""
        now_s = self._clock.now()
        return [
            RouterPresence(
                each.member,
                each.settings_version,
                each.view_version,
                now_s - each.polled_at_s,
            )
            for each in self._latest_polls()
        ]

    def live_routers(self) -> Sequence[Member]:
        """Return the routers that polled recently, sorted by name."""
        newest_s = self._clock.now() - LIVE_ROUTER_S
        return [each.member for each in self._latest_polls() if each.polled_at_s >= newest_s]

    def range_loads(self) -> Mapping[tuple[str, int], float]:
        """Return the busy slots of each range over all routers, by service and start."""
        loads: defaultdict[tuple[str, int], float] = defaultdict(float)
        newest_s = self._clock.now() - LOAD_VALID_S
        for poll in self._latest_polls():
            if poll.polled_at_s >= newest_s:
                for each in poll.loads:
                    loads[(each.service, each.start)] += each.busy_slots
        return loads

    def live_list(self) -> LiveRouters:
        """Return the versioned list of live routers; it is at most LIST_VALID_S old."""
        now_s = self._clock.now()
        if self._live_list is None or now_s - self._live_list_at_s >= LIST_VALID_S:
            routers = self.live_routers()
            self._live_list = LiveRouters(tuple(routers), routers_version(routers))
            self._live_list_at_s = now_s
        return self._live_list

    def _latest_polls(self) -> Sequence[_RouterPoll]:
        self._remove_expired()
        merged = dict(self._reported)
        for poll in self._local.values():
            _keep_latest(merged, poll)
        return sorted(merged.values(), key=lambda each: (each.member.name, each.polled_at_s))

    def _remove_expired(self) -> None:
        oldest_s = self._clock.now() - ROUTER_RETENTION_S
        for polls in (self._local, self._reported):
            for incarnation, poll in list(polls.items()):
                if poll.polled_at_s < oldest_s:
                    del polls[incarnation]


def routers_version(routers: Sequence[Member]) -> int:
    """Return a nonzero hash of the list; the same on every controller."""
    content = "\n".join(member.incarnation for member in routers)
    return xxhash.xxh64_intdigest(content.encode("utf-8")) | 1


def _keep_latest(polls: dict[str, _RouterPoll], poll: _RouterPoll) -> None:
    known = polls.get(poll.member.incarnation)
    if known is None or known.polled_at_s < poll.polled_at_s:
        polls[poll.member.incarnation] = poll
