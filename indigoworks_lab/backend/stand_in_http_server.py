"""HTTP shell of a stand-in back end."""

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks_lab.backend.control_handlers import DrainHandler, LeaseHandler, StatusHandler
from indigoworks_lab.backend.data_handler import DataHandler
from indigoworks_lab.backend.lab_handlers import FaultsHandler, HistoryHandler
from indigoworks_lab.backend.probe_handlers import HealthHandler, LoadHandler
from indigoworks_lab.backend.stand_in_server import StandInServer


class ConnectionServer(HTTPServer):
    """An HTTP server on which a new connection takes time. Counts its open connections."""

    clock: Clock
    connection_cost_s: float

    async def handle_stream(self, stream: IOStream, address: Any) -> None:  # type: ignore[override]
        """Serve a new connection once its cost is paid."""
        await self.clock.sleep(self.connection_cost_s)
        super().handle_stream(stream, address)

    @property
    def open_connections(self) -> int:
        """Number of connections being served."""
        return len(self._connections)


class StandInHttpServer:
    """Serves the back-end contract, the probes and the lab's paths for one server."""

    def __init__(self, server: StandInServer, clock: Clock) -> None:
        self._server = server
        application = Application(self._handlers(), log_function=_log_nothing)
        self._http = ConnectionServer(application)
        self._http.clock = clock
        self._http.connection_cost_s = server.profile.connection_cost_s

    def listen(self, host: str, port: int) -> Address:
        """Listen and return the address; port 0 takes any free one.

        :raises OSError: the address cannot be bound.
        """
        sockets = bind_sockets(port, host)
        self._http.add_sockets(sockets)
        return Address(host, sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Take no new connections; open ones go on."""
        self._http.stop()

    async def close_connections(self) -> None:
        """Close all connections."""
        await self._http.close_all_connections()

    def _is_over_limit(self) -> bool:
        return self._http.open_connections > self._server.profile.connections

    def _handlers(self) -> list[Any]:
        whole = {"server": self._server}
        return [
            (r"/v1/.*", DataHandler, {**whole, "is_over_limit": self._is_over_limit}),
            (r"/control/status", StatusHandler, whole),
            (r"/control/lease", LeaseHandler, whole),
            (r"/control/drain", DrainHandler, whole),
            (r"/health", HealthHandler, whole),
            (r"/load", LoadHandler, whole),
            (r"/lab/history", HistoryHandler, whole),
            (r"/lab/faults", FaultsHandler, whole),
        ]


def _log_nothing(_: object) -> None:
    """Take the place of the access log: the history tells more."""
