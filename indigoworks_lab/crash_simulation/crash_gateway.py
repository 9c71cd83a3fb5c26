"""One life of a gateway in a crash simulation."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.common.coalesced_call import CoalescedCall
from indigoworks.common.logging.line_rate_limiter import LineRateLimiter
from indigoworks.common.metrics import Metrics
from indigoworks.exchange.datagram_endpoint import DatagramEndpoint
from indigoworks.exchange.hub_selector import HubSelector
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.reach_codec import is_reach_datagram
from indigoworks.exchange.report_sender import ReportSender, ReportSource
from indigoworks.gateway.connect_tester import ConnectTester
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.request_subsystem import RequestSubsystem
from indigoworks.gateway.server_connection import ServerConnection
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.rowstore.row import Row
from indigoworks_lab.crash_simulation.broker_port import BrokerPort, TakeDatagram

NO_LEADER = ""

Send = Callable[["CrashGateway", bytes, Address], None]
SendToBroker = Callable[["CrashGateway", bytes, Address, Address], None]
"""Carries a datagram of a gateway from one address of a broker's socket to another."""

OpenConnection = Callable[[Address, str], ServerConnection]


class CrashGateway:
    """The parts of a gateway that serve requests and exchange reports; the product's own."""

    def __init__(
        self,
        settings: GatewaySettings,
        ports: PlatformPorts,
        address: PeerAddress,
        tables: OwnershipTables,
        open_connection: OpenConnection,
        send: Send,
        send_to_broker: SendToBroker | None = None,
    ) -> None:
        clock = LoopClock()
        self.node = settings.node
        self.address = address
        self.is_up = True
        self.peers = PeerTable(clock, self.node)
        self.directory = PeerDirectory(self.node)
        self.metrics = Metrics()
        self.platform = PlatformSubsystem(ports, settings, clock)
        self.broker_port: BrokerPort | None = None

        def open_datagrams(own: Address, take: TakeDatagram) -> DatagramEndpoint:
            if send_to_broker is None:
                return DatagramEndpoint(own, take)
            self.broker_port = BrokerPort(own, take, partial(send_to_broker, self))
            return self.broker_port

        random = Random(address.boot)
        self.reach = ReachSubsystem(
            self.node,
            address.boot,
            self.platform.servers,
            self.directory,
            ConnectTester(open_connection).can_connect,
            ConnectTester(open_connection).can_open,
            clock,
            random,
        )
        self.side = RequestSubsystem(
            settings,
            ports,
            self.platform,
            self.reach,
            tables,
            self.peers,
            self.directory,
            self.metrics,
            LineRateLimiter(clock),
            clock,
            random,
            address,
            open_connection,
            open_datagrams,
        )
        self.platform.on_servers_changed(self.side.servers_changed)
        self.reach.changed.append(self.side.queue.capacity_changed)
        self.reach.send_datagram = lambda datagram, to: send(self, datagram, to)
        choice = HubSelector(
            self.node,
            address.zone,
            address.capacity,
            self.directory,
            self.peers,
            lambda: NO_LEADER,
            clock,
        )
        self.sender = ReportSender(
            address.zone,
            self.directory,
            self.peers,
            choice,
            ReportSource(self._make_report, self._has_news, self._take, lambda: NO_LEADER),
            lambda datagram, to: send(self, datagram, to),
        )
        telling = CoalescedCall(self.sender.send_soon)
        self.side.quarantine.on_unreported = telling.schedule
        self.side.on_notice = telling.schedule
        self._sequence = 0

    def take_rows(self, rows: Sequence[Row]) -> None:
        """Take rows of the group."""
        self.directory.apply(rows)
        self.side.apply_rows(rows)

    def receive(self, datagram: bytes) -> None:
        """Take a datagram of a peer."""
        if is_reach_datagram(datagram):
            self.reach.handle_datagram(datagram)
        else:
            self.sender.handle_datagram(datagram)

    async def run(self) -> None:
        """Exchange reports until the process ends."""
        while self.is_up:
            await asyncio.sleep(self.sender.period_s())
            self.sender.send_if_due()

    def _has_news(self) -> bool:
        has_notes = self.side.quarantine.has_unreported() or self.side.notices.has_any()
        has_notes = has_notes or bool(self.side.outliers.shared())
        return bool(self.side.server_stats.loads()) or has_notes

    def _make_report(self) -> PeerReport:
        self._sequence += 1
        return PeerReport(
            node=self.node,
            boot=self.address.boot,
            sequence=self._sequence,
            epoch=0,
            beat_age_s=float("inf"),
            leader=None,
            loads=self.side.server_stats.loads(),
            samples=(),
            retry_count=0,
            suspects=self.side.quarantine.next_report(),
            notices=self.side.notices.next_notes(),
            evidence=self.side.outliers.shared(),
        )

    def _take(self, report: PeerReport) -> None:
        self.side.quarantine.merge_suspects(report.suspects)
        self.side.notices.apply(report.notices)
        self.side.outliers.apply(report)
        self.side.queue.capacity_changed()
