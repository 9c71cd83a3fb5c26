"""Readiness probe, metrics and administration API of a gateway."""

from collections.abc import Callable, Collection

from tornado.httputil import HTTPServerRequest

from indigoworks.common.clock import Clock
from indigoworks.common.metrics import Metrics
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.gateway.active_settings import ActiveSettings
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.control_subsystem import ControlSubsystem
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.status_server import StatusServer

ADMINISTRATION_PATH = "/admin/v1/"


class StatusSubsystem:
    """Serves the readiness probe at one address, metrics and administration at another.

    :ivar is_stopping: whether the process is stopping, so that it reports not ready.
    :ivar failing_parts: returns the parts of the process that keep failing; it reports not ready
        while there are any.
    """

    def __init__(
        self,
        settings: ActiveSettings,
        boot: str,
        ports: PlatformPorts,
        platform: PlatformSubsystem,
        control: ControlSubsystem,
        peers: PeerView,
        directory: PeerDirectory,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._boot = boot
        self._ports = ports
        self._platform = platform
        self._control = control
        self._peers = peers
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self.is_stopping = False
        self.failing_parts: Callable[[], Collection[str]] = tuple
        addresses = settings.current
        self._readiness = StatusServer(addresses.readiness_address, self._answer_readiness)
        self._status = StatusServer(addresses.metrics_address, self._answer_status)

    def start(self) -> None:
        """Listen.

        :raises OSError: an address cannot be bound.
        """
        self._readiness.start()
        self._status.start()

    async def _answer_readiness(self, request: HTTPServerRequest) -> ClientResponse:
        is_known = self._platform.is_loaded and self._control.leadership.has_read
        is_ready = is_known and not self.is_stopping and not self.failing_parts()
        if request.path != self._ports.readiness_path:
            return ClientResponse(404, (), b"")
        return ClientResponse(200 if is_ready else 503, (), b"")

    async def _answer_status(self, request: HTTPServerRequest) -> ClientResponse:
        if request.path.startswith(ADMINISTRATION_PATH):
            return await self._answer_administration(request)
        # Imported on first use: see indigoworks.common.metrics.
        from indigoworks.common.metrics_page import metrics_page

        page = metrics_page(self._metrics)
        return ClientResponse(200, (("Content-Type", "text/plain"),), page)

    async def _answer_administration(self, request: HTTPServerRequest) -> ClientResponse:
        # Imported on first use, to save memory in processes that get no such request.
        from indigoworks.gateway.gateway_administration import answer_administration
        from indigoworks.gateway.gateway_plane import GatewayPlane

        plane = GatewayPlane(
            self._settings.current,
            self._boot,
            self._platform.configurations,
            self._platform.servers,
            self._control.tables,
            self._peers,
            self._directory,
            self._control.leadership,
            lambda: self._control.group_version,
            self._clock,
        )
        return await answer_administration(plane, request)
