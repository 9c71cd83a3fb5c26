"""One attempt of a request at a server, with what its outcome says about the server."""

import asyncio
from functools import partial

from indigoworks.gateway.crash_attribution import CrashAttribution
from indigoworks.gateway.outlier_subsystem import OutlierSubsystem
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.reachability_monitor import ReachabilityMonitor
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_sender import CONNECTION_REFUSED, MISDIRECTED, RequestSender
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import OUT_OF_REACH, ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource


class ServerExchange:
    """Sends a placed request, and records the response for those who judge servers by it."""

    def __init__(
        self,
        sender: RequestSender,
        server_stats: ServerStats,
        servers: ServerSource,
        owners: OwnerLookup,
        reachability: ReachabilityMonitor,
        reach: ReachSubsystem,
        crash_attribution: CrashAttribution,
        outliers: OutlierSubsystem,
        log: RequestLog,
    ) -> None:
        self._sender = sender
        self._server_stats = server_stats
        self._servers = servers
        self._owners = owners
        self._reachability = reachability
        self._reach = reach
        self._crash_attribution = crash_attribution
        self._outliers = outliers
        self._log = log

    async def run(self, state: RequestState, server: ServerRecord) -> ServerResponse:
        """Send the request once and return the response; `state.is_served` tells if it ran."""
        state.tried.append(server.server_id)
        state.is_served = False
        is_measured = False
        started = self._server_stats.start(server)
        try:
            self._crash_attribution.record_send(state)
            response = await self._exchange(state, server)
            state.is_outcome_open = False
            self._log.attempted(state, response, started.at_s)
            self._crash_attribution.record_response(state, server, response)
            is_answered = response.result is ExchangeResult.ANSWERED
            state.is_served = is_answered and not response.is_not_run
            if response.server_load is not None:
                self._server_stats.record_server_load(server.server_id, response.server_load)
            if is_answered:
                self._record_responder(state, server, response)
            response = self._outliers.record(state, server, response, started)
            # A failure may be faster than any service, whose time it says nothing about.
            is_measured = state.is_served and not response.verdict.is_fault
            return response
        finally:
            self._server_stats.finish(server, started, is_measured)
            state.started = started

    async def _exchange(self, state: RequestState, server: ServerRecord) -> ServerResponse:
        """Send a request; if it is repeatable, abandon a server that becomes unreachable."""
        sending = asyncio.ensure_future(
            self._sender.send(
                state.request, server, state.deadline_s, partial(_open_outcome, state)
            )
        )
        try:
            while True:
                check_after_s = self._reachability.check_after_s(server)
                done, _ = await asyncio.wait({sending}, timeout=check_after_s)
                if done:
                    response = sending.result()
                    self._record_reach(server, response)
                    return response
                is_reachable = await self._reachability.is_reachable(server)
                if not is_reachable and state.route.is_repeatable and not sending.done():
                    return ServerResponse(ExchangeResult.LOST, detail=OUT_OF_REACH)
        finally:
            sending.cancel()

    def _record_reach(self, server: ServerRecord, response: ServerResponse) -> None:
        if response.result is ExchangeResult.ANSWERED:
            self._reach.path.record_response()
        elif response.result is ExchangeResult.NOT_SENT:
            is_refused = response.detail == CONNECTION_REFUSED
            self._reachability.report_connect_failure(server, is_refused)
        elif response.result is ExchangeResult.LOST:
            self._reach.path.record_failure(server.server_id, is_silent=False)

    def _record_responder(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> None:
        """Record what a response says about the identity and the keys of its sender.

        A server that answers with another id uses the address of the record in place of its server.
        """
        responder_id = response.answering_id
        is_other = responder_id is not None and responder_id != server.server_id
        if response.status == MISDIRECTED and is_other:
            sign = ReplacementEvidence.REQUEST
            self._servers.record_replaced(server, responder_id or "", sign)
            return
        self._server_stats.record_response(server.server_id)
        if (
            response.status == MISDIRECTED
            and state.service.is_keyed
            and state.request.key is not None
        ):
            self._owners.record_not_held(state.service.name, state.request.key, server.server_id)


def _open_outcome(state: RequestState) -> None:
    state.is_outcome_open = True
