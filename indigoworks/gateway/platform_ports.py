"""Interfaces to the platform that a gateway runs on."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Result
from tornado.httputil import HTTPHeaders

from indigoworks.gateway.header_names import HeaderNames
from indigoworks.ownership.server_orders import ServerOrders
from indigoworks.routes.configuration import Configuration
from indigoworks.routes.errors import ConfigurationInvalid
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.errors import ServerEntryUnreadable
from indigoworks.servers.self_reported_load import SelfReportedLoad
from indigoworks.servers.server_notice import ServerNotice
from indigoworks.servers.server_record import ServerRecord


@dataclass(frozen=True)
class PlatformPorts:
    """Clients of the platform's services, and parsers of its formats.

    :ivar configuration_table: table of the operator's configuration (empty part).
    :ivar configuration_key: key of its row.
    :ivar read_evacuated_zone: returns the zone that a row of that table evacuates, by its key;
        None for other rows. The zone is in use again once the row is removed.
    :ivar read_server_load: parses the header with a server's load report; None if unreadable.
    :ivar read_server_notice: parses a server's notice from status and headers of a response.
    :ivar servers_table: table in which servers register themselves (empty part).
    """

    names: HeaderNames
    store: RowStore
    health: StoreHealth
    orders: ServerOrders
    configuration_table: str
    configuration_key: str
    servers_table: str
    readiness_path: str
    read_configuration: Callable[[bytes], Result[Configuration, ConfigurationInvalid]]
    read_server: Callable[[Row], Result[ServerRecord, ServerEntryUnreadable]]
    read_evacuated_zone: Callable[[str], str | None]
    read_server_load: Callable[[str], SelfReportedLoad | None]
    read_server_notice: Callable[[int, HTTPHeaders], ServerNotice]
