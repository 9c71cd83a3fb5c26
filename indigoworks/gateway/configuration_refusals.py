"""Refusals that rest on the configuration in force alone."""

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.gateway_responses import GatewayResponses
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_log import RequestLog
from indigoworks.routes.configuration_holder import ConfigurationHolder

RETRY_AFTER_S = 0.3
"""Time to come back after a refusal for a configuration that is not there yet: gateways
on slow links have a change 0.2 s after the store in the median, 0.8 s at most, and 1.3 s at most of
changes in quick succession (simulated zone, 2,533 routes)."""


class ConfigurationRefusals:
    """Judges what the configuration in force does not allow.

    Where peers have a newer configuration, it may allow the request: no refusal is final then, and
    the caller is told when to come back.
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
        """Tell whether a newer configuration than the one in force is known to exist."""
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
        """Answer a request without a key for a service that has keys in configuration `version`."""
        if self.is_outdated():
            return self.retry_later(request)
        self._log.no_key(request, service, version)
        return self._responses.no_key(request)

    def header_too_large(self, request: ClientRequest) -> ClientResponse:
        """Answer a request whose header is over the limit in force."""
        return (
            self.retry_later(request) if self.is_outdated() else self._responses.too_large(request)
        )

    def retry_later(self, request: ClientRequest) -> ClientResponse:
        """Answer that the request may be allowed once the newest configuration is in force."""
        return self.refused(request, RefusalReason.CONFIGURATION_BEHIND)

    def refused(self, request: ClientRequest, reason: RefusalReason) -> ClientResponse:
        """Answer that the request has not run and when to come back."""
        refusal = Refusal(reason, RETRY_AFTER_S)
        self._log.refused(request, None, refusal)
        return self._responses.refused(request, refusal)
