"""The exchange of reports between a gateway and its peers."""

from indigoworks.common.clock import Clock
from indigoworks.exchange.datagram_exchange import DatagramExchange
from indigoworks.exchange.hub_selector import HubSelector
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_sender import ReportSender, ReportSource
from indigoworks.gateway.gateway_settings import GatewaySettings


def make_exchange(
    settings: GatewaySettings,
    capacity: float,
    directory: PeerDirectory,
    table: PeerTable,
    source: ReportSource,
    clock: Clock,
) -> DatagramExchange:
    """Build the report exchange of a gateway.

    :param capacity: `relay_capacity` of its machine, by which hubs are selected; 0 if it cannot be
        one.
    """
    choice = HubSelector(
        settings.node, settings.zone, capacity, directory, table, source.leader_node, clock
    )
    exchange = DatagramExchange(settings.peer_address, clock)
    exchange.sender = ReportSender(settings.zone, directory, table, choice, source, exchange.send)
    return exchange
