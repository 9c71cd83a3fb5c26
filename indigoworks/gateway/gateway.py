"""One gateway process."""

import asyncio
import uuid
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from eliot import log_message

from indigoworks.common.boot_clock import BootClock
from indigoworks.common.coalesced_call import CoalescedCall
from indigoworks.common.logging.line_rate_limiter import LineRateLimiter
from indigoworks.common.metrics import Metrics
from indigoworks.common.supervision import Work
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_server import PeerServer
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.forwarding.forward_client import FORWARD_PATH
from indigoworks.gateway.active_settings import ActiveSettings
from indigoworks.gateway.background_tasks import BackgroundTasks
from indigoworks.gateway.connect_tester import ConnectTester
from indigoworks.gateway.control_subsystem import ControlSubsystem
from indigoworks.gateway.exchange_factory import make_exchange
from indigoworks.gateway.gateway_reports import GatewayReports
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.instrumented_ports import instrument_ports
from indigoworks.gateway.peer_registration import PeerRegistration
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.process_signals import install_signal_handlers
from indigoworks.gateway.reach_log import ReachLog
from indigoworks.gateway.relay_subsystem import RelaySubsystem
from indigoworks.gateway.request_subsystem import RequestSubsystem
from indigoworks.gateway.state_gauges import StateGauges
from indigoworks.gateway.status_subsystem import StatusSubsystem
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.relay.relayed_store import FEED_PATH

MAINTENANCE_PERIOD_S = 1.0


class Gateway:
    """Builds the parts of a gateway process, runs them, and stops them in order."""

    def __init__(
        self,
        active_settings: ActiveSettings,
        ports: PlatformPorts,
        line_rates: LineRateLimiter,
    ) -> None:
        self._active_settings = active_settings
        settings = active_settings.current
        self._clock = BootClock()
        self._boot = uuid.uuid4().hex[:8]
        random = self._random = Random(self._boot)
        self._metrics = Metrics()
        ports = self._ports = instrument_ports(ports, self._metrics, self._clock)
        self._peers = PeerTable(self._clock, settings.node)
        self._directory = PeerDirectory(settings.node)
        self._relay = RelaySubsystem(
            settings,
            ports,
            self._peers,
            self._directory,
            self._leader_node,
            self._clock,
            random,
        )
        ports = self._ports = replace(ports, store=self._relay.store)
        tables = OwnershipTables()
        self._platform = PlatformSubsystem(
            ports,
            settings,
            self._clock,
            self._relay.choice.probe_wait_s,
            self._directory.has_many,
            self._relay.choice.is_relayed,
            self._relay.choice.is_watching,
        )
        tester = ConnectTester()
        self._reach = ReachSubsystem(
            settings.node,
            self._boot,
            self._platform.servers,
            self._directory,
            tester.can_connect,
            tester.can_open,
            self._clock,
            random,
        )
        self._requests = RequestSubsystem(
            settings,
            ports,
            self._platform,
            self._reach,
            tables,
            self._peers,
            self._directory,
            self._metrics,
            line_rates,
            self._clock,
            random,
            self._own_address(),
        )
        self._control = ControlSubsystem(
            self._boot,
            settings,
            ports,
            self._platform,
            self._reach,
            self._peers,
            self._directory,
            tables,
            self._clock,
            random,
        )
        self._registration = PeerRegistration(
            self._own_address(),
            ports.store,
            self._control.group,
            ports.health.eras,
            self._directory,
            self._clock,
            random,
        )
        self._reach_log = ReachLog(
            self._requests.server_stats,
            self._platform.servers,
            self._reach.path,
            self._control.order_reach,
            self._control.leadership,
            self._peers,
            self._clock,
        )
        self._reports = GatewayReports(
            settings.node, self._boot, self._platform, self._requests, self._control, self._peers
        )
        self._exchange = make_exchange(
            settings,
            self._relay.capacity,
            self._directory,
            self._peers,
            self._reports.source(self._leader_node),
            self._clock,
        )
        self._status = StatusSubsystem(
            active_settings,
            self._boot,
            ports,
            self._platform,
            self._control,
            self._peers,
            self._directory,
            self._metrics,
            self._clock,
        )
        self._tasks = BackgroundTasks(self._clock)
        self._status.failing_parts = self._tasks.failing
        self._peer_server = PeerServer(
            settings.peer_address,
            {
                FEED_PATH: self._relay.server.handle,
                FORWARD_PATH: self._requests.forward_server.handle,
            },
        )
        self._connect_parts()
        gauges = StateGauges(
            self._requests,
            self._control,
            self._platform,
            ports.orders,
            tester,
            self._peers,
            ports.health,
            line_rates,
            self._clock,
        )
        gauges.add_to(self._metrics)

    @property
    def _settings(self) -> GatewaySettings:
        return self._active_settings.current

    # ---- start and stop ----

    async def run(self) -> None:
        """Run until a stop signal, then finish the requests in progress."""
        stop = asyncio.Event()
        install_signal_handlers(stop.set, self._active_settings.reload)
        await self._exchange.open()
        await self._requests.brokers.open()
        self._status.start()
        self._peer_server.start()
        self._requests.front.start()
        for name, work in self._parts():
            self._tasks.start(name, work)
        node, zone = self._settings.node, self._settings.zone
        log_message(message_type="process:started", node=node, boot=self._boot, zone=zone)
        await stop.wait()
        await self._stop()

    def _parts(self) -> Iterable[tuple[str, Work]]:
        """Return what runs until the process stops, by name."""
        operator_rows, servers = self._platform.followers
        return (
            ("operator_rows", operator_rows.run),
            ("servers", servers.run),
            ("group_rows", self._control.follow_rows),
            ("registration", self._registration.run),
            ("exchange", self._exchange.run),
            ("broker", self._requests.brokers.broker.run),
            ("quarantine", self._requests.run),
            ("relay", self._relay.server.run),
            ("group_member", self._control.member.run),
            ("leader_fitness", self._control.fitness.run),
            ("maintenance", self._run_maintenance),
        )

    async def _stop(self) -> None:
        log_message(
            message_type="process:stopping", in_progress=self._requests.front.in_progress.count
        )
        self._status.is_stopping = True
        self._requests.brokers.broker.is_stopping = True
        resigning = asyncio.ensure_future(self._control.leadership.resign())
        await self._requests.shutdown.run(self._settings.stop_grace_s)
        resigning.cancel()
        self._tasks.cancel_all()
        self._requests.close()
        self._requests.brokers.close()
        self._peer_server.stop()
        self._relay.server.stop()
        self._reach.close()
        self._exchange.close()
        log_message(message_type="process:stopped")

    # ---- tasks ----

    def _own_address(self) -> PeerAddress:
        return PeerAddress(
            self._settings.node,
            self._boot,
            self._settings.zone,
            self._settings.peer_address,
            self._relay.capacity,
        )

    async def _run_maintenance(self) -> None:
        while True:
            await self._clock.sleep(MAINTENANCE_PERIOD_S)
            self._requests.drop_expired()
            self._platform.end_stale_evacuations()
            self._reach_log.write()

    # ---- exchange ----

    def _leader_node(self) -> str:
        return self._control.leadership.row.node

    def _connect_parts(self) -> None:
        self._control.use_server_stats(self._requests.server_stats)
        self._control.send_report_now = self._exchange.sender.send_soon
        self._control.witnesses.send_datagram = self._exchange.send
        self._exchange.on_witness_datagram = self._control.witnesses.handle_datagram
        self._reach.send_datagram = self._exchange.send
        self._exchange.on_reach_datagram = self._reach.handle_datagram
        self._reach.changed.append(self._requests.queue.capacity_changed)
        send_soon = CoalescedCall(self._exchange.sender.send_soon)
        self._requests.quarantine.on_unreported = send_soon.schedule
        self._requests.on_notice = send_soon.schedule
        self._control.on_rows = self._requests.apply_rows
        self._control.owners_changed = self._requests.queue.capacity_changed
        for part in (self._platform, self._requests, self._control):
            self._active_settings.on_change(part.apply_settings)
        self._platform.on_servers_changed(self._requests.servers_changed)
