"""The dispatchers of one router."""

from collections.abc import Iterator

from indigoworks.router.dispatch_request import DispatchRequest
from indigoworks.router.dispatcher import DispatchResult, ServerDispatcher
from indigoworks.router.dispatcher_ports import DispatcherPorts
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.server_record import ServerRecord
from indigoworks.router.slow_start import SlowStart
from indigoworks.settings.resolved_settings import ResolvedSettings
from indigoworks.settings.settings_tree import DEFAULT_GROUP

ServerRun = tuple[str, str]
"""One process of a server: its name and incarnation."""


class DispatcherPool:
    """Holds a dispatcher for each server process that this router dispatches to."""

    def __init__(self, ports: DispatcherPorts) -> None:
        self._ports = ports
        self._dispatchers: dict[ServerRun, ServerDispatcher] = {}
        self._first_seen_s: dict[ServerRun, float] = {}

    def __iter__(self) -> Iterator[ServerDispatcher]:
        return iter(tuple(self._dispatchers.values()))

    def apply_view(self, view: RoutingView) -> None:
        """Record when servers first appeared, and drop idle dispatchers of removed servers."""
        now_s = self._ports.clock.now()
        runs = {_run(server) for server in view.servers.values()}
        self._first_seen_s = {run: self._first_seen_s.get(run, now_s) for run in runs}
        self._dispatchers = {
            run: dispatcher
            for run, dispatcher in self._dispatchers.items()
            if run in runs or not dispatcher.is_idle
        }

    async def dispatch(
        self, request: DispatchRequest, server: ServerRecord, view: RoutingView
    ) -> DispatchResult:
        """Queue the request at the server's dispatcher and return the complete response."""
        limits = self._limits(request, view)
        if limits is None:
            raise ValueError(f"service {request.owned.service} is not in the settings of the view")
        dispatcher = self._dispatcher(server)
        dispatcher.divide_slots(len(view.routers) if limits.hop == "direct" else 1)
        return await dispatcher.submit(request, self._group(request, view), limits)

    def _limits(self, request: DispatchRequest, view: RoutingView) -> ResolvedSettings | None:
        owned = request.owned
        return view.settings.resolve(owned.service, owned.group, owned.key)

    def _group(self, request: DispatchRequest, view: RoutingView) -> str:
        """Groups that are not in the settings share one queue, so inventing names gains nothing."""
        group = request.owned.group
        return group if group in view.groups else DEFAULT_GROUP

    def _dispatcher(self, server: ServerRecord) -> ServerDispatcher:
        run = _run(server)
        found = self._dispatchers.get(run)
        if found is None:
            first_seen_s = self._first_seen_s.setdefault(run, self._ports.clock.now())
            found = ServerDispatcher(server, self._ports, SlowStart(first_seen_s))
            self._dispatchers[run] = found
        return found


def _run(server: ServerRecord) -> ServerRun:
    return (server.name, server.incarnation)
