"""Finds the owner of a key and its dispatcher."""

from indigoworks.router.dispatcher_cache import DispatcherCache
from indigoworks.router.peer_monitor import PeerMonitor
from indigoworks.router.route import Route
from indigoworks.router.routed_request import RoutedRequest
from indigoworks.router.routing_view import RoutingView


class RouteFinder:
    """Finds the route of a request in a view."""

    def __init__(self, incarnation: str, monitor: PeerMonitor) -> None:
        self._incarnation = incarnation
        self._monitor = monitor
        self._dispatchers = DispatcherCache()

    def find(self, view: RoutingView, request: RoutedRequest) -> Route | None:
        """Return the route, or None if no live server owns the key."""
        assignment = view.assignment(request.caller.service, request.position)
        if assignment is None or not assignment.owner:
            return None
        server = view.server(assignment.owner, assignment.owner_incarnation)
        if server is None:
            return None
        peer = None
        if request.settings.hop != "direct":
            peer = self._dispatchers.dispatcher_of(server, view.routers, self._monitor.suspects())
        if peer is not None and peer.incarnation == self._incarnation:
            peer = None
        return Route(view, assignment, server, peer)
