"""State of a request while it is handled."""

import asyncio

from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.server_stats import RequestStart
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.quarantine.crash_ids import NO_WINDOW
from indigoworks.routes.route import Route
from indigoworks.routes.service import Service
from indigoworks.routes.share import Share


class RequestState:
    """A request, its route, and the outcome of its attempts.

    :ivar deadline_s: clock reading of the caller's deadline or, if earlier, the route's time-out.
    :ivar first_attempt_s: estimated clock reading of the first attempt of its caller.
    :ivar tried: ids of the servers chosen for its attempts, in order, also of those not reached.
    :ivar share: the fair-share group that it is charged to, with its weight.
    :ivar waiting: its newest queue entry, with the placement.
    :ivar waited_s: seconds that it waited here for a server with capacity or an owner.
    :ivar may_have_run: an attempt ended without a proof that the request did not run.
    :ivar is_outcome_open: it was sent to a server or a peer, and that has not answered yet.
    :ivar may_have_run_at: servers of such attempts.
    :ivar servers_crashed: number of servers that crashed while they ran it.
    :ivar misdirected_count: retries asked for at a keyed service, for any reason.
    :ivar known_crash_windows: as `Quarantine.known_windows` returned them when the request was last
        sent. Crashes in one window of time count once; see quarantine/crash_ids.py.
    :ivar doubts: numbers of the unconfirmed crashes under the request at that time.
    :ivar doubt_window: window of that time, if any request was in doubt then.
    :ivar started: start of the last attempt at a server, once that has ended.
    :ivar is_served: whether the server of the last attempt ran it and answered.
    :ivar is_forwarded: a peer forwarded it to this gateway, which forwards it no further.
    :ivar is_dispatched: that peer selected this gateway as dispatcher, and decides on repeats.
    :ivar may_dispatch: it may be passed to a dispatcher; not after one did nothing with it.
    :ivar is_repeat_due: this gateway would repeat it, which the peer that forwarded it decides.
    :ivar forwarded_to: peers that it was offered to, in order.
    :ivar verdict: task that determines whether a server crashed, for the last attempt that was sent
        and not answered; None if there was none.
    """

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        service: Service,
        configuration_version: int,
        share: Share | None = None,
        first_attempt_age_s: float = 0.0,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.configuration_version = configuration_version
        self.share = share or Share(route.host)
        self.deadline_s = _deadline_s(request, route)
        self.first_attempt_s = request.arrived_s - first_attempt_age_s
        self.tried: list[str] = []
        self.waited_s = 0.0
        self.may_have_run = False
        self.is_outcome_open = False
        self.may_have_run_at: set[str] = set()
        self.waiting: WaitingRequest | None = None
        self.misdirected_count = 0
        self.servers_crashed = 0
        self.known_crash_windows: tuple[int, ...] = ()
        self.doubts: frozenset[int] = frozenset()
        self.doubt_window = NO_WINDOW
        self.started: RequestStart | None = None
        self.is_served = False
        self.verdict: asyncio.Task[None] | None = None
        self.is_forwarded = False
        self.is_dispatched = False
        self.may_dispatch = True
        self.is_repeat_due = False
        self.forwarded_to: list[str] = []
        self._unsent = 0

    def adopt_route(self, rerouted: "RequestState") -> None:
        """Adopt the result of routing the same request again, with share and deadline."""
        self.route = rerouted.route
        self.service = rerouted.service
        self.configuration_version = rerouted.configuration_version
        self.share = rerouted.share
        self.deadline_s = rerouted.deadline_s

    def count_unsent(self) -> int:
        """Count an attempt that reached no server, and return the count."""
        self._unsent += 1
        return self._unsent


def _deadline_s(request: ClientRequest, route: Route) -> float:
    wait_s = route.timeout_s
    if request.wait_s is not None:
        wait_s = min(wait_s, request.wait_s)
    return request.arrived_s + wait_s
