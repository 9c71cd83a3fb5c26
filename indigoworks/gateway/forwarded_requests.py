"""Handles requests that peers forward to this gateway."""

from indigoworks.common.clock import Clock
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.forwarded_result import ForwardedResult
from indigoworks.gateway.request_pipeline import RequestPipeline
from indigoworks.gateway.response_outcome import ResponseOutcome
from indigoworks.routes.configuration_holder import ConfigurationHolder

_OUTCOMES = {
    ResponseOutcome.ANSWERED: ForwardOutcome.ANSWERED,
    ResponseOutcome.REFUSED: ForwardOutcome.REFUSED,
    ResponseOutcome.LOST: ForwardOutcome.LOST,
    ResponseOutcome.UNROUTED: ForwardOutcome.UNROUTED,
}


class ForwardedRequests:
    """Runs them through the request pipeline as if their callers had come here."""

    def __init__(
        self, pipeline: RequestPipeline, configurations: ConfigurationHolder, clock: Clock
    ) -> None:
        self._pipeline = pipeline
        self._configurations = configurations
        self._clock = clock

    async def reply(self, forwarded: ForwardRequest) -> ForwardReply:
        """Return the reply to one request."""
        if self._version() < forwarded.configuration_version:
            return ForwardReply(ForwardOutcome.DECLINED, reason="outdated")
        result = await self._pipeline.run_forwarded(
            self._request(forwarded),
            forwarded.service,
            forwarded.tried,
            forwarded.is_for_dispatcher,
        )
        if result is None:
            return ForwardReply(ForwardOutcome.DECLINED, reason="out_of_reach")
        return self._reply(result)

    def _request(self, forwarded: ForwardRequest) -> ClientRequest:
        return ClientRequest(
            request_id=forwarded.request_id,
            method=forwarded.method,
            host=forwarded.host,
            target=forwarded.target,
            headers=forwarded.headers,
            body=forwarded.body,
            wait_s=forwarded.wait_s,
            key=forwarded.key,
            arrived_s=self._clock.now() - forwarded.age_s,
            caller=forwarded.caller,
        )

    def _reply(self, result: ForwardedResult) -> ForwardReply:
        response = result.response
        refusal = response.refusal
        return ForwardReply(
            _OUTCOMES[response.outcome],
            response.status,
            response.headers,
            response.body,
            "" if refusal is None else refusal.reason.value,
            0.0 if refusal is None else refusal.retry_after_s,
            self._version(),
            result.tried,
            result.may_repeat,
        )

    def _version(self) -> int:
        current = self._configurations.current()
        return 0 if current is None else current.version
