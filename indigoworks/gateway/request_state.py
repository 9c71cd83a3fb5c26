"""What is known of a request on its way."""

import asyncio

from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.quarantine.crash_ids import NO_WINDOW
from indigoworks.routes.route import Route
from indigoworks.routes.service import Service
from indigoworks.routes.share import Share


class RequestState:
    """A request, its route, and what its attempts came to.

    :ivar deadline_s: clock reading at which the caller or the route's timeout ends it.
    :ivar first_try_s: clock reading at which its caller tried first, as far as that shows.
    :ivar tried: servers that it was sent to, in order.
    :ivar share: the group that it is charged to, with its weight.
    :ivar waiting: its place, or the queue's entry in which it last waited for one.
    :ivar waited_s: seconds that it waited here for a server with room or an owner.
    :ivar may_have_run: an attempt ended without word on whether it ran.
    :ivar servers_ended: servers that ended while they had it in hand.
    :ivar known_end_slots: slots of the last ends of servers under the request that were known when
        it was sent last, as the quarantine gives them.
    :ivar doubts: numbers of the doubts about the request that were open then.
    :ivar doubted_slot: slot of that moment.
    :ivar is_served: the server of the last attempt ran it and answered.
    :ivar judgement: finds out whether the server of the last attempt ended; None: it answered.
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
        self.waiting: WaitingRequest | None = None
        self.misdirected_count = 0
        self.servers_crashed = 0
        self.known_crash_windows: tuple[int, ...] = ()
        self.doubts: frozenset[int] = frozenset()
        self.doubt_window = NO_WINDOW
        self.is_served = False
        self.verdict: asyncio.Task[None] | None = None
        self._unsent = 0

    def adopt_route(self, rerouted: "RequestState") -> None:
        """Take the route, service and time of the same request as it is routed now."""
        self.route = rerouted.route
        self.service = rerouted.service
        self.configuration_version = rerouted.configuration_version
        self.share = rerouted.share
        self.deadline_s = rerouted.deadline_s

    def count_unsent(self) -> int:
        """Count an attempt that reached no server; returns how many there were."""
        self._unsent += 1
        return self._unsent


def _deadline_s(request: ClientRequest, route: Route) -> float:
    wait_s = route.timeout_s
    if request.wait_s is not None:
        wait_s = min(wait_s, request.wait_s)
    return request.arrived_s + wait_s
