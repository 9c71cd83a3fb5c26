"""Handles a request from its arrival to the final response."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.gateway.active_requests import ActiveRequests
from indigoworks.gateway.attempt_gate import AttemptGate
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.crash_attribution import CrashAttribution
from indigoworks.gateway.failure_responses import FailureResponses
from indigoworks.gateway.forwarded_result import ForwardedResult
from indigoworks.gateway.gateway_responses import GatewayResponses
from indigoworks.gateway.key_sampler import KeySampler
from indigoworks.gateway.local_retry_budget import LocalRetryBudget
from indigoworks.gateway.placer import Placer
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_dispatching import RequestDispatching
from indigoworks.gateway.request_forwarding import RequestForwarding
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_routing import RequestRouting
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.response_outcome import ResponseOutcome
from indigoworks.gateway.retry_policy import RetryPolicy
from indigoworks.gateway.server_exchange import ServerExchange
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord

AIM_FACTOR = 0.9
"""Requests are accepted while their response is expected within this multiple of `Route.aim_s`."""

LATE_RANK = 1000
"""Added to the rank of a request whose response will miss its aim, counted from the caller's first
attempt: a response in time is worth ten times as much as a late one, and takes the same slot."""


ATTEMPTS_USED = "attempts_used"
"""Detail of a request that may have run at as many servers as its route allows."""


class RequestPipeline:
    """Routes a request, places it at a server, sends it, and returns the response.

    A request whose key's owner has a dispatcher is passed to that. A request whose servers are
    reached by a peer only is forwarded to that peer.
    """

    def __init__(
        self,
        routing: RequestRouting,
        placer: Placer,
        exchange: ServerExchange,
        dispatching: RequestDispatching,
        forwarding: RequestForwarding,
        server_stats: ServerStats,
        crash_attribution: CrashAttribution,
        active: ActiveRequests,
        gate: AttemptGate,
        retry_budget: LocalRetryBudget,
        retry_policy: RetryPolicy,
        sampler: KeySampler,
        responses: GatewayResponses,
        failures: FailureResponses,
        log: RequestLog,
        clock: Clock,
    ) -> None:
        self._routing = routing
        self._placer = placer
        self._exchange = exchange
        self._dispatching = dispatching
        self._forwarding = forwarding
        self._server_stats = server_stats
        self._crash_attribution = crash_attribution
        self._active = active
        self._gate = gate
        self._retry_budget = retry_budget
        self._retry_policy = retry_policy
        self._sampler = sampler
        self._responses = responses
        self._failures = failures
        self._log = log
        self._clock = clock

    async def run(self, request: ClientRequest) -> ClientResponse:
        """Return the final response to a request."""
        state = self._routing.route(request)
        if not isinstance(state, RequestState):
            return state
        self._record_request(state)
        return await self._attempts(state)

    async def run_forwarded(
        self,
        request: ClientRequest,
        service: str,
        tried: tuple[str, ...],
        is_dispatched: bool = False,
    ) -> ForwardedResult | None:
        """Return the result of a request that a peer forwarded; None: its servers are out of reach
        from here as well, and it has not run.

        :param service: service that the peer chose.
        :param tried: servers that it may have been sent to, or with a key that may have run it.
        :param is_dispatched: the peer selected this gateway as dispatcher.
        """
        state = self._routing.route(request, service)
        if not isinstance(state, RequestState):
            return ForwardedResult(state)
        state.is_forwarded = True
        state.is_dispatched = is_dispatched
        state.tried.extend(tried)
        if state.service.is_keyed:
            state.may_have_run_at.update(tried)
        if self._forwarding.is_out_of_reach(state):
            return None
        response = await self._attempts(state)
        is_refused = response.outcome is ResponseOutcome.REFUSED
        if is_refused and self._forwarding.is_out_of_reach(state):
            return None
        return ForwardedResult(response, tuple(state.tried[len(tried) :]), state.is_repeat_due)

    async def _attempts(self, state: RequestState) -> ClientResponse:
        with self._active.track(state):
            try:
                while not self._active.is_closed:
                    final = await self._attempt(state)
                    if final is not None:
                        return final
            except asyncio.CancelledError:
                if not self._active.absorb_cancellation(state):
                    self._log.cancelled(state)
                    raise
            return self._failures.ended(state)

    async def _attempt(self, state: RequestState) -> ClientResponse | None:
        """Return the final response; None if another attempt is due."""
        unrouted = self._route_again(state)
        if unrouted is not None:
            return unrouted
        if not self._retry_policy.may_send_to_owner(state):
            return self._failures.lost(state, ATTEMPTS_USED)
        dispatcher = self._dispatching.choice(state)
        if dispatcher is not None:
            refusal = self._crash_attribution.refusal(state.request)
            if refusal is not None:
                return self._failures.refuse(state, refusal)
            return await self._dispatching.dispatch(state, dispatcher)
        if await self._forwarding.is_due(state):
            return await self._forwarding.forward(state)
        if not self._gate.is_suspect(state.request):
            return await self._send_placed(state, is_locked=False)
        aim_s = state.request.arrived_s + state.route.aim_s * AIM_FACTOR
        lock = await self._gate.lock(state, min(aim_s, state.deadline_s))
        if isinstance(lock, Refusal):
            return self._failures.refuse(state, lock)
        crashed_before = state.servers_crashed
        try:
            return await self._send_placed(state, is_locked=True)
        finally:
            self._gate.unlock(state, lock, crashed_before)

    async def _send_placed(self, state: RequestState, is_locked: bool) -> ClientResponse | None:
        """Place and send; return the final response, or None if another attempt is due.

        :param is_locked: the gate admitted a suspect request, perhaps without a lock.
        """
        placement = await self._place_unless_quarantined(state)
        if isinstance(placement, Refusal):
            if await self._forwarding.is_due(state):
                return None
            return self._failures.refuse(state, placement)
        is_new_suspect = not is_locked and self._gate.is_suspect(state.request)
        has_dispatcher = self._dispatching.choice(state) is not None
        if is_new_suspect or has_dispatcher or not self._routing.is_current(state):
            # While it waited, a newer configuration changed its route, a server crashed under
            # another attempt of it, or its key got an owner whose dispatcher is another gateway.
            self._return_placement(state, placement)
            return None
        if not self._retry_policy.may_send_to(state, placement.server_id):
            self._return_placement(state, placement)
            return self._failures.lost(state, ATTEMPTS_USED)
        # It keeps its server, but gets the route and deadline in force; a refusal is only logged
        # and counted.
        self._route_again(state)
        response = await self._send(state, placement)
        if response.result is ExchangeResult.ANSWERED and not response.is_not_run:
            self._log.answered(state, response)
            return self._responses.from_server(state.request, response)
        if not await self._retry_policy.may_retry(state, response):
            if state.is_repeat_due:
                return self._failures.to_sender(state, placement, response)
            return self._failures.unserved(state, placement, response)
        return None

    def _route_again(self, state: RequestState) -> ClientResponse | None:
        """Route by the configuration in force; return the final response if it cannot be routed.

        One that may have run is lost if its route is gone; it is refused if a service or key is.
        """
        if state.may_have_run and not self._routing.has_route(state):
            return self._failures.lost(state, "no_route")
        service_name = state.service.name
        unrouted = self._routing.route_again(state)
        if unrouted is not None:
            return unrouted
        if state.service.name != service_name:
            self._record_request(state)
        return None

    def _record_request(self, state: RequestState) -> None:
        """Count a request for its service, and for its key."""
        self._retry_budget.record_request(state.service.name)
        if state.service.is_keyed and state.request.key is not None:
            self._sampler.add(state.service.name, state.request.key)

    def _return_placement(self, state: RequestState, server: ServerRecord) -> None:
        """Release the server of a request that was placed and is not sent."""
        started = self._server_stats.start(server)
        self._server_stats.finish(server, started, False)
        if state.waiting is not None:
            self._placer.release(state.waiting, started, None)

    async def _place_unless_quarantined(self, state: RequestState) -> ServerRecord | Refusal:
        """Place a request unless it is quarantined, before or after its wait."""
        refusal = self._crash_attribution.refusal(state.request)
        if refusal is not None:
            return refusal
        placement = await self._place(state)
        if isinstance(placement, Refusal):
            return placement
        refusal = self._crash_attribution.refusal(state.request)
        if refusal is None:
            return placement
        self._return_placement(state, placement)
        return refusal

    async def _place(self, state: RequestState) -> ServerRecord | Refusal:
        now_s = self._clock.now()
        if now_s >= state.deadline_s:
            return Refusal(RefusalReason.NO_TIME, 0.0)
        limit_s = state.first_attempt_s + state.route.aim_s * AIM_FACTOR
        priority = state.route.priority
        if limit_s < now_s + self._server_stats.mean_service_time_s(state.service.name):
            # It can only be late: requests that can be in time go first.
            limit_s = state.request.arrived_s + state.route.aim_s * AIM_FACTOR
            priority += LATE_RANK
        try:
            state.waiting = WaitingRequest(
                group=state.share.group,
                weight=state.share.weight,
                service=state.service.name,
                key=state.request.key if state.service.is_keyed else None,
                priority=priority,
                tried=frozenset() if state.service.is_keyed else frozenset(state.tried),
                limit_s=min(limit_s, state.deadline_s),
                deadline_s=state.deadline_s,
                content=state.request,
                is_dispatched=state.is_dispatched,
                is_repeatable=state.route.is_repeatable,
            )
            return await self._placer.place(state.waiting)
        finally:
            state.waited_s += self._clock.now() - now_s

    async def _send(self, state: RequestState, server: ServerRecord) -> ServerResponse:
        response: ServerResponse | None = None
        try:
            response = await self._exchange.run(state, server)
            return response
        finally:
            if state.waiting is not None and state.started is not None:
                self._placer.release(state.waiting, state.started, response)
