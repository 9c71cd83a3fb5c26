"""What a gateway needs of the platform that it runs on."""

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
    """Ports and translations; the platform's own names stay behind them.

    :ivar configuration_table: table and key of the operator's configuration (empty part).
    :ivar read_evacuated_zone: the zone that a row of that table evacuates, by the row's key; None:
        another row. The zone is in use again once the row is removed.
    :ivar read_server_word: reads the header in which a server tells its load; None: unreadable.
    :ivar read_server_notice: reads what a server asks for from status and headers of an answer.
    :ivar servers_table: table in which servers record themselves (empty part).
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
    read_server_word: Callable[[str], SelfReportedLoad | None]
    read_server_notice: Callable[[int, HTTPHeaders], ServerNotice]
