"""Handles a request from its arrival to the final response."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.gateway import queue_refusals
from indigoworks.gateway.attempt_gate import AttemptGate
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.crash_attribution import CrashAttribution
from indigoworks.gateway.gateway_responses import GatewayResponses
from indigoworks.gateway.key_sampler import KeySampler
from indigoworks.gateway.local_retry_budget import LocalRetryBudget
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.placer import Placer
from indigoworks.gateway.reachability_monitor import ReachabilityMonitor
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_routing import RequestRouting
from indigoworks.gateway.request_sender import MISDIRECTED, RequestSender
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.retry_policy import RetryPolicy
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

AIM_FACTOR = 0.9
"""Requests are accepted while their response is expected within this multiple of `Route.aim_s`."""

LATE_RANK = 1000
"""Added to the rank of a request whose response will miss its aim, counted from the caller's first
attempt: a response in time is worth ten times as much as a late one, and takes the same slot."""


class RequestPipeline:
    """Routes a request, places it at a server, sends it, and returns the response."""

    def __init__(
        self,
        routing: RequestRouting,
        placer: Placer,
        owners: OwnerLookup,
        sender: RequestSender,
        server_stats: ServerStats,
        servers: ServerSource,
        reachability: ReachabilityMonitor,
        crash_attribution: CrashAttribution,
        gate: AttemptGate,
        retry_budget: LocalRetryBudget,
        retry_policy: RetryPolicy,
        sampler: KeySampler,
        responses: GatewayResponses,
        log: RequestLog,
        clock: Clock,
    ) -> None:
        self._routing = routing
        self._placer = placer
        self._owners = owners
        self._sender = sender
        self._server_stats = server_stats
        self._servers = servers
        self._reachability = reachability
        self._crash_attribution = crash_attribution
        self._gate = gate
        self._retry_budget = retry_budget
        self._retry_policy = retry_policy
        self._sampler = sampler
        self._responses = responses
        self._log = log
        self._clock = clock

    async def run(self, request: ClientRequest) -> ClientResponse:
        """Return the final response to a request."""
        state = self._routing.route(request)
        if not isinstance(state, RequestState):
            return state
        self._record_request(state)
        try:
            return await self._attempts(state)
        except asyncio.CancelledError:
            self._log.cancelled(state)
            raise

    async def _attempts(self, state: RequestState) -> ClientResponse:
        while True:
            final = await self._attempt(state)
            if final is not None:
                return final

    async def _attempt(self, state: RequestState) -> ClientResponse | None:
        """Return the final response; None if another attempt is due."""
        unrouted = self._route_again(state)
        if unrouted is not None:
            return unrouted
        if not self._gate.is_suspect(state.request):
            return await self._send_placed(state, is_locked=False)
        aim_s = state.request.arrived_s + state.route.aim_s * AIM_FACTOR
        lock = await self._gate.lock(state, min(aim_s, state.deadline_s))
        if isinstance(lock, Refusal):
            return self._refuse(state, lock)
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
            return self._refuse(state, placement)
        is_new_suspect = not is_locked and self._gate.is_suspect(state.request)
        if is_new_suspect or not self._routing.is_current(state):
            # While it waited, a newer configuration changed its route, or a server crashed under
            # another attempt of it.
            self._return_placement(state, placement)
            return None
        # It keeps its server, but gets the route and deadline in force; a refusal is only logged
        # and counted.
        self._route_again(state)
        response = await self._send(state, placement)
        if response.result is ExchangeResult.ANSWERED and not response.is_not_run:
            self._log.answered(state, response)
            return self._responses.from_server(state.request, response)
        if not await self._retry_policy.may_retry(state, response):
            return self._respond_unserved(state, placement, response)
        return None

    def _route_again(self, state: RequestState) -> ClientResponse | None:
        """Route by the configuration in force; return the final response if it cannot be routed.

        One that may have run is lost if its route is gone; it is refused if a service or key is.
        """
        if state.may_have_run and not self._routing.has_route(state):
            return self._lost(state, "no_route")
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
            )
            return await self._placer.place(state.waiting)
        finally:
            state.waited_s += self._clock.now() - now_s

    async def _send(self, state: RequestState, server: ServerRecord) -> ServerResponse:
        state.tried.append(server.server_id)
        started = self._server_stats.start(server)
        is_served = False
        response: ServerResponse | None = None
        try:
            self._crash_attribution.record_send(state)
            response = await self._exchange(state, server)
            self._log.attempted(state, response, started.at_s)
            self._crash_attribution.record_response(state, server, response)
            is_served = response.result is ExchangeResult.ANSWERED and not response.is_not_run
            state.is_served = is_served
            if response.server_load is not None:
                self._server_stats.record_server_load(server.server_id, response.server_load)
            if response.result is ExchangeResult.ANSWERED:
                self._record_responder(state, server, response)
            return response
        finally:
            self._server_stats.finish(server, started, is_served)
            if state.waiting is not None:
                self._placer.release(state.waiting, started, response)

    def _record_responder(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> None:
        """Record what a response says about the identity and the keys of its sender.

        A server that answers with another id uses the address of a server that is gone.
        """
        responder_id = response.answering_id
        is_other = responder_id is not None and responder_id != server.server_id
        if response.status == MISDIRECTED and is_other:
            sign = ReplacementEvidence.REQUEST
            self._servers.record_replaced(server.server_id, responder_id or "", sign)
            return
        self._server_stats.record_response(server.server_id)
        if (
            response.status == MISDIRECTED
            and state.service.is_keyed
            and state.request.key is not None
        ):
            self._owners.record_not_held(state.service.name, state.request.key, server.server_id)

    async def _exchange(self, state: RequestState, server: ServerRecord) -> ServerResponse:
        """Send a request; if it is repeatable, abandon a server that becomes unreachable."""
        sending = asyncio.ensure_future(self._sender.send(state.request, server, state.deadline_s))
        try:
            while True:
                check_after_s = self._reachability.check_after_s(server)
                done, _ = await asyncio.wait({sending}, timeout=check_after_s)
                if done:
                    response = sending.result()
                    if response.result is ExchangeResult.NOT_SENT:
                        self._reachability.report_connect_failure(server)
                    return response
                is_reachable = await self._reachability.is_reachable(server)
                if not is_reachable and state.route.is_repeatable and not sending.done():
                    return ServerResponse(ExchangeResult.LOST, detail="out_of_reach")
        finally:
            sending.cancel()

    def _refuse(self, state: RequestState, refusal: Refusal) -> ClientResponse:
        if state.may_have_run:
            return self._lost(state, f"then {refusal.reason.value}")
        self._log.refused(state.request, state, refusal)
        return self._responses.refused(state.request, refusal)

    def _lost(self, state: RequestState, detail: str) -> ClientResponse:
        self._log.lost(state, detail)
        return self._responses.lost(state.request)

    def _respond_unserved(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> ClientResponse:
        if state.may_have_run:
            self._log.lost(state, response.detail)
            if response.result is ExchangeResult.SILENT:
                return self._responses.timed_out(state.request)
            return self._responses.lost(state.request)
        refusal = self._refusal_of(state, server, response)
        self._log.refused(state.request, state, refusal)
        return self._responses.refused(state.request, refusal)

    def _refusal_of(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> Refusal:
        """Return the refusal of a request that its last server did not run."""
        rest_left_s = self._servers.rest_left_s(server.server_id)
        if rest_left_s > 0:
            # An earlier retry would be useless: it is not sent there before.
            return queue_refusals.resting(server.server_id, rest_left_s)
        limit_per_s = self._servers.limit_per_s(server.server_id)
        if limit_per_s is not None:
            return queue_refusals.limited(server.server_id, 1 / limit_per_s)
        is_answered = response.result is ExchangeResult.ANSWERED
        reason = RefusalReason.SERVER_REFUSED if is_answered else RefusalReason.NOT_SENT
        return Refusal(reason, self._server_stats.mean_service_time_s(state.service.name))
