"""Requests as they are offered to peers, and the replies of the peers."""

from indigoworks.common.clock import Clock
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.failure_responses import FailureResponses
from indigoworks.gateway.request_state import RequestState
from indigoworks.routes.configuration_holder import ConfigurationHolder


class HopMessages:
    """Builds the messages, and applies the replies to the state of their requests.

    No request is answered by an older configuration than one of a reply that was passed on before.
    """

    def __init__(
        self, configurations: ConfigurationHolder, failures: FailureResponses, clock: Clock
    ) -> None:
        self._configurations = configurations
        self._failures = failures
        self._clock = clock
        self._newest_version = 0

    def message(self, state: RequestState, is_for_dispatcher: bool = False) -> ForwardRequest:
        """Return the message that offers a request to a peer."""
        request = state.request
        return ForwardRequest(
            request.request_id,
            request.method,
            request.host,
            request.target,
            request.headers,
            request.body,
            request.wait_s,
            request.key,
            self._clock.now() - request.arrived_s,
            request.caller,
            state.service.name,
            max(self._newest_version, state.configuration_version),
            tuple(sorted(state.may_have_run_at) if state.service.is_keyed else state.tried),
            is_for_dispatcher,
        )

    def apply(self, state: RequestState, reply: ForwardReply) -> None:
        """Record what a peer did with a request that it did not decline."""
        state.tried.extend(reply.tried)
        self._newest_version = max(self._newest_version, reply.configuration_version)
        self._configurations.record_newer_version(reply.configuration_version, self._clock.now())
        if reply.outcome is ForwardOutcome.LOST:
            state.may_have_run = True
            state.may_have_run_at.update(reply.tried)

    def response(self, state: RequestState, reply: ForwardReply) -> ClientResponse:
        """Return the final response that a reply brings."""
        if reply.outcome is ForwardOutcome.REFUSED and state.may_have_run:
            return self._failures.lost(state, f"then {reply.reason}")
        return ClientResponse(reply.status, reply.headers, reply.body)
