"""Final responses to requests that no server answered."""

from indigoworks.gateway import queue_refusals
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.gateway_responses import GatewayResponses
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource


class FailureResponses:
    """Builds and logs the responses; a request that may have run is never reported as not run."""

    def __init__(
        self,
        responses: GatewayResponses,
        servers: ServerSource,
        server_stats: ServerStats,
        log: RequestLog,
    ) -> None:
        self._responses = responses
        self._servers = servers
        self._server_stats = server_stats
        self._log = log

    def refuse(self, state: RequestState, refusal: Refusal) -> ClientResponse:
        """Report a refusal, or a loss if an earlier attempt may have run."""
        if state.may_have_run:
            return self.lost(state, f"then {refusal.reason.value}")
        self._log.refused(state.request, state, refusal)
        return self._responses.refused(state.request, refusal)

    def ended(self, state: RequestState) -> ClientResponse:
        """Report the end of a request that the process cannot finish before it stops."""
        state.may_have_run |= state.is_outcome_open
        return self.refuse(state, Refusal(RefusalReason.STOPPING, 0.0))

    def lost(self, state: RequestState, detail: str) -> ClientResponse:
        """Report that the request may have run."""
        self._log.lost(state, detail)
        return self._responses.lost(state.request)

    def unserved(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> ClientResponse:
        """Report the end of the last attempt, which its server did not answer or did not run."""
        if state.may_have_run:
            self._log.lost(state, response.detail)
            if response.result is ExchangeResult.SILENT:
                return self._responses.timed_out(state.request)
            return self._responses.lost(state.request)
        refusal = self._refusal_of(state, server, response)
        self._log.refused(state.request, state, refusal)
        return self._responses.refused(state.request, refusal)

    def to_sender(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> ClientResponse:
        """Return what a peer that decides on a repeat is told; only the peer logs the end."""
        if state.may_have_run:
            return self._responses.lost(state.request)
        return self._responses.refused(state.request, self._refusal_of(state, server, response))

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
