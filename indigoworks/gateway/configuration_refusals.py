"""Responses to requests that the configuration in force does not allow."""

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.gateway_responses import GatewayResponses
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_log import RequestLog
from indigoworks.routes.configuration_holder import ConfigurationHolder

RETRY_AFTER_S = 0.3
"""Retry delay of a refusal for a configuration that has not arrived yet. Gateways on slow links
have a change of 2,533 routes 0.2 s after the store in the median and 0.8 s at most; 1.3 s at most
for changes in quick succession."""


class ConfigurationRefusals:
    """Builds the responses, and logs them.

    If peers have a newer configuration, that may allow the request: the caller is then told to
    retry instead of getting a final error.
    """

    def __init__(
        self,
        configurations: ConfigurationHolder,
        responses: GatewayResponses,
        log: RequestLog,
        clock: Clock,
    ) -> None:
        self._configurations = configurations
        self._responses = responses
        self._log = log
        self._clock = clock

    def is_outdated(self) -> bool:
        """Return whether a newer configuration than the one in force is known to exist."""
        if self._configurations.current() is None:
            return True
        return self._configurations.is_behind(self._clock.now())

    def no_route(self, request: ClientRequest, version: int) -> ClientResponse:
        """Answer a request for which configuration `version` has no route."""
        if self.is_outdated():
            return self.retry_later(request)
        self._log.no_route(request, version)
        return self._responses.no_route(request)

    def no_key(self, request: ClientRequest, service: str, version: int) -> ClientResponse:
        """Answer a request without a key to a service that is keyed in configuration `version`."""
        if self.is_outdated():
            return self.retry_later(request)
        self._log.no_key(request, service, version)
        return self._responses.no_key(request)

    def header_too_large(self, request: ClientRequest) -> ClientResponse:
        """Answer a request whose header exceeds the limit in force."""
        return (
            self.retry_later(request) if self.is_outdated() else self._responses.too_large(request)
        )

    def retry_later(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request that the newest configuration may allow; the caller may retry."""
        return self.refused(request, RefusalReason.CONFIGURATION_BEHIND)

    def no_memory(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request for whose body the process has no room."""
        return self.refused(request, RefusalReason.NO_MEMORY)

    def refused(self, request: ClientRequest, reason: RefusalReason) -> ClientResponse:
        """Answer that the request has not run, and when to retry."""
        refusal = Refusal(reason, RETRY_AFTER_S)
        self._log.refused(request, None, refusal)
        return self._responses.refused(request, refusal)
