"""Selects route and service of a request by the configuration in force."""

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.configuration_refusals import ConfigurationRefusals
from indigoworks.gateway.first_attempts import FirstAttempts
from indigoworks.gateway.refusal import RefusalReason
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.weighted_split import WeightedSplit
from indigoworks.routes.configuration import Configuration
from indigoworks.routes.configuration_holder import ConfigurationHolder
from indigoworks.routes.route import Route


class RequestRouting:
    """Routes requests when they arrive, and again before they are sent.

    A request may wait for half a second and more before it is sent; the configuration in force by
    then applies.
    """

    def __init__(
        self,
        configurations: ConfigurationHolder,
        refusals: ConfigurationRefusals,
        clock: Clock,
    ) -> None:
        self._configurations = configurations
        self._refusals = refusals
        self._split = WeightedSplit()
        self._first_tries = FirstAttempts(clock)

    def route(self, request: ClientRequest, chosen: str = "") -> RequestState | ClientResponse:
        """Return the state of a routed request, or the final response if it cannot be routed.

        It cannot without a configuration, a route, the route's service, or the key that this needs.

        :param chosen: service that another gateway chose for it, which it keeps if the route still
            includes it.
        """
        configuration = self._configurations.current()
        if configuration is None:
            return self._refusals.refused(request, RefusalReason.NO_CONFIGURATION)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return self._refusals.no_route(request, configuration.version)
        if not chosen or not _includes(route, chosen):
            chosen = self._split.choose(route)
        age_s = self._first_tries.age_s(route.name, request.wait_s)
        return self._with_service(request, configuration, route, chosen, age_s)

    def is_current(self, state: RequestState) -> bool:
        """Return whether the configuration in force still routes the request to its service."""
        configuration = self._configurations.current()
        if configuration is None or configuration.version == state.configuration_version:
            return True
        route = configuration.find_route(state.request.host, state.request.path)
        return route is not None and _includes(route, state.service.name)

    def has_route(self, state: RequestState) -> bool:
        """Return whether the configuration in force has a route for the request."""
        configuration = self._configurations.current()
        request = state.request
        return configuration is None or bool(configuration.find_route(request.host, request.path))

    def route_again(self, state: RequestState) -> ClientResponse | None:
        """Reroute a request by the configuration in force.

        Returns the final response if the route, its service or a key is missing. The request keeps
        its service if the route still includes it.
        """
        configuration = self._configurations.current()
        if configuration is None or configuration.version == state.configuration_version:
            return None
        route = configuration.find_route(state.request.host, state.request.path)
        if route is None:
            return self._refusals.no_route(state.request, configuration.version)
        is_kept = _includes(route, state.service.name)
        chosen = state.service.name if is_kept else self._split.choose(route)
        routed = self._with_service(state.request, configuration, route, chosen, 0.0)
        if not isinstance(routed, RequestState):
            return routed
        state.adopt_route(routed)
        return None

    def _with_service(
        self,
        request: ClientRequest,
        configuration: Configuration,
        route: Route,
        service_name: str,
        first_try_age_s: float,
    ) -> RequestState | ClientResponse:
        service = configuration.services.get(service_name)
        if service is None:
            return self._refusals.refused(request, RefusalReason.NO_SERVER)
        if service.is_keyed and request.key is None:
            return self._refusals.no_key(request, service.name, configuration.version)
        share = configuration.share_of(route, service.name, request.key)
        return RequestState(request, route, service, configuration.version, share, first_try_age_s)


def _includes(route: Route, service_name: str) -> bool:
    return any(each.service == service_name and each.weight > 0 for each in route.services)
