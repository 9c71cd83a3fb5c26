"""The operator's configuration, parsed."""

from dataclasses import dataclass, field

from indigoworks.routes.caller_limits import CallerLimits
from indigoworks.routes.route import Route
from indigoworks.routes.service import Service
from indigoworks.routes.share import Share
from indigoworks.routes.share_tree import ShareTree


@dataclass(frozen=True)
class Configuration:
    """Immutable routes, services and limits of one version.

    :ivar shares: weights of the groups; equal by default.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    shares: ShareTree = field(default_factory=ShareTree)
    _routes_by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda each: len(each.path_prefix), reverse=True)
        object.__setattr__(self, "_routes_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def share_of(self, route: Route, service: str, key: int | None) -> Share:
        """Return the group that requests of `route` are charged to, and its weight at `service`."""
        group = route.host.lower()
        return Share(
            group, self.shares.weight_of(service, group, None if key is None else str(key))
        )

    def keyed_services(self) -> tuple[Service, ...]:
        """Return the services whose servers own keys."""
        return tuple(each for each in self.services.values() if each.is_keyed)
