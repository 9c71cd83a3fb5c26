"""Routes requests to the owners of their keys, and retries them."""

from random import Random

from eliot import log_message
from result import Err, Ok

from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.clock import Clock
from indigoworks.common.logging.log_level import LogLevel
from indigoworks.common.logging.log_threshold import LOG_THRESHOLD
from indigoworks.router import refusals
from indigoworks.router.dispatch_request import DispatchRequest
from indigoworks.router.dispatcher import DispatchResult
from indigoworks.router.dispatcher_pool import DispatcherPool
from indigoworks.router.errors import (
    AnswerLost,
    DispatcherUnreachable,
    OwnerUnreachable,
    RouterError,
    RouterFault,
    WrongOwner,
)
from indigoworks.router.forwarder import Forwarder
from indigoworks.router.outcome import Outcome
from indigoworks.router.retry_budget import RetryBudget
from indigoworks.router.route import Route
from indigoworks.router.route_finder import RouteFinder
from indigoworks.router.routed_request import RoutedRequest
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.view_follower import ViewFollower

VIEW_WAIT_S = 0.25
"""Longest wait for a changed route after one failed attempt."""

VIEW_WAIT_TOTAL_S = 1.0
"""Longest total wait of a request for changed routes; a handover takes less."""

REROUTE_LIMIT = 8
"""Maximum number of times that a request is rerouted after its route has changed."""


class RequestPath:
    """Routes a request, sends it, and decides whether to send it again.

    A request that provably did not run may be sent again regardless of its method, see
    `_may_route_again`; one that may have run only if it is repeatable, see `_may_send_again`.
    """

    def __init__(
        self,
        follower: ViewFollower,
        finder: RouteFinder,
        pool: DispatcherPool,
        forwarder: Forwarder,
        clock: Clock,
        random: Random,
    ) -> None:
        self._follower = follower
        self._finder = finder
        self._pool = pool
        self._forwarder = forwarder
        self._clock = clock
        self._random = random
        self._budgets: dict[str, RetryBudget] = {}

    async def run(self, request: RoutedRequest) -> DispatchResult:
        """Return the owner's complete response, or the error to report to the caller."""
        self._budget(request).add_request(request.settings.retry_budget_ratio)
        while True:
            view = self._follower.in_force()
            if view is None:
                return Err(self._verdict(request, refusals.view_expired()))
            route = self._finder.find(view, request)
            if route is None:
                return Err(self._verdict(request, self._no_owner(request)))
            result = await self._attempt(route, request)
            if LOG_THRESHOLD.passes(LogLevel.DEBUG):
                self._log_attempt(request, route, result)
            if isinstance(result, Ok):
                return result
            error = result.unwrap_err()
            self._record_unknown_outcome(request, error)
            if not await self._may_try_again(request, route, error):
                return Err(self._verdict(request, error))

    async def _attempt(self, route: Route, request: RoutedRequest) -> DispatchResult:
        dispatch = self._dispatch_request(route, request)
        if route.peer is None:
            return await self._pool.dispatch(dispatch, route.server, route.view)
        return await self._forwarder.forward(route.peer, dispatch)

    # ---- rules ----

    async def _may_try_again(
        self, request: RoutedRequest, route: Route, error: RouterError
    ) -> bool:
        if self._remaining_s(request) <= 0:
            return False
        if error.outcome is not Outcome.NOT_RUN:
            return self._may_send_again(request, error)
        return await self._may_route_again(request, route, error)

    def _may_send_again(self, request: RoutedRequest, error: RouterError) -> bool:
        """After a lost response the request may have run: send it again only if repeatable."""
        is_lost = isinstance(error, AnswerLost | RouterFault)
        return is_lost and request.is_repeatable and self._claim_retry(request)

    async def _may_route_again(
        self, request: RoutedRequest, route: Route, error: RouterError
    ) -> bool:
        """Reroute or retry a request that did not run; refusals for load or deadline are final."""
        if not isinstance(error, WrongOwner | OwnerUnreachable | DispatcherUnreachable):
            return False
        if await self._has_new_route(request, route):
            request.reroutes += 1
            return request.reroutes <= REROUTE_LIMIT
        return self._claim_retry(request)

    async def _has_new_route(self, request: RoutedRequest, route: Route) -> bool:
        """Tell whether the route of the request has changed; wait briefly for a change.

        A changed route uses no retry budget: it results from a change of ownership or routers,
        which is rare, and not from overload.
        """
        allowance_s = min(VIEW_WAIT_TOTAL_S - request.waited_s, self._remaining_s(request))
        if allowance_s <= 0:
            return False
        started_s = self._clock.now()
        view = await self._follower.wait_until(
            lambda view: self._is_changed(view, request, route), min(VIEW_WAIT_S, allowance_s)
        )
        request.waited_s += self._clock.now() - started_s
        return view is not None

    def _is_changed(self, view: RoutingView, request: RoutedRequest, old: Route) -> bool:
        new = self._finder.find(view, request)
        if new is None:
            return False
        return (new.assignment, new.peer) != (old.assignment, old.peer)

    def _claim_retry(self, request: RoutedRequest) -> bool:
        if request.retries >= request.settings.retry_limit:
            return False
        if not self._budget(request).try_spend():
            return False
        request.retries += 1
        return True

    def _verdict(self, request: RoutedRequest, error: RouterError) -> RouterError:
        """Return the first error after which the request may have run; if none, `error`."""
        return request.first_unknown_outcome if request.first_unknown_outcome is not None else error

    # ---- helpers ----

    def _record_unknown_outcome(self, request: RoutedRequest, error: RouterError) -> None:
        if error.outcome is Outcome.UNKNOWN and request.first_unknown_outcome is None:
            request.first_unknown_outcome = error

    def _log_attempt(self, request: RoutedRequest, route: Route, result: DispatchResult) -> None:
        log_message(
            message_type="router:attempt",
            level=LogLevel.DEBUG.name,
            request_id=request.caller.request_id,
            result="answered" if isinstance(result, Ok) else result.unwrap_err().kind,
            server=route.server.name,
            range=f"{route.assignment.start:#018x}-{route.assignment.end:#018x}",
            token=route.assignment.token,
            view_version=route.view.version,
        )

    def _dispatch_request(self, route: Route, request: RoutedRequest) -> DispatchRequest:
        caller = request.caller
        owned = OwnedRequest(
            request_id=caller.request_id,
            service=caller.service,
            key=caller.key,
            group=caller.group,
            method=caller.method,
            path=caller.path,
            headers=caller.headers,
            body=caller.body,
            range_start=route.assignment.start,
            range_end=route.assignment.end,
            token=route.assignment.token,
            server_incarnation=route.server.incarnation,
            remaining_s=self._remaining_s(request),
        )
        return DispatchRequest(
            owned=owned,
            server_name=route.server.name,
            deadline_s=request.deadline_s,
            is_repeatable=request.is_repeatable,
            generation=route.view.generation,
            settings_version=route.view.settings_version,
        )

    def _no_owner(self, request: RoutedRequest) -> RouterError:
        retry_after_s = refusals.jittered_retry_after_s(refusals.REASSIGNMENT_S, self._random)
        return refusals.no_owner(request.caller.service, retry_after_s)

    def _remaining_s(self, request: RoutedRequest) -> float:
        return request.deadline_s - self._clock.now()

    def _budget(self, request: RoutedRequest) -> RetryBudget:
        return self._budgets.setdefault(request.caller.service, RetryBudget())
