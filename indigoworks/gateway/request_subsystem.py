"""Builds the parts of a gateway that serve requests."""

from collections.abc import Callable, Sequence
from random import Random

from indigoworks.broker.broker_subsystem import BrokerSubsystem
from indigoworks.broker.brokered_locks import BrokeredLocks
from indigoworks.broker.brokered_queue import BrokeredQueue
from indigoworks.broker.group_locks import GroupLocks
from indigoworks.common.clock import Clock
from indigoworks.common.coalesced_call import CoalescedCall
from indigoworks.common.logging.line_rate_limiter import LineRateLimiter
from indigoworks.common.metrics import Metrics
from indigoworks.common.process_memory import limit_memory
from indigoworks.exchange.datagram_endpoint import DatagramEndpoint, OpenDatagrams
from indigoworks.exchange.partition_monitor import PartitionMonitor
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.forwarding.forward_client import ForwardClient
from indigoworks.forwarding.forward_server import ForwardServer
from indigoworks.gateway.active_requests import ActiveRequests
from indigoworks.gateway.attempt_gate import AttemptGate
from indigoworks.gateway.configuration_refusals import ConfigurationRefusals
from indigoworks.gateway.crash_attribution import CrashAttribution
from indigoworks.gateway.dispatcher_subsystem import DispatcherSubsystem
from indigoworks.gateway.failure_responses import FailureResponses
from indigoworks.gateway.forwarded_requests import ForwardedRequests
from indigoworks.gateway.front_server import FrontServer
from indigoworks.gateway.gateway_responses import GatewayResponses
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.key_sampler import KeySampler
from indigoworks.gateway.local_retry_budget import LocalRetryBudget
from indigoworks.gateway.notice_reports import NoticeReports
from indigoworks.gateway.outlier_subsystem import OutlierSubsystem
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.quarantine_subsystem import QuarantineSubsystem
from indigoworks.gateway.reachability_monitor import ReachabilityMonitor
from indigoworks.gateway.request_forwarding import RequestForwarding
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_metrics import RequestMetrics
from indigoworks.gateway.request_pipeline import RequestPipeline
from indigoworks.gateway.request_routing import RequestRouting
from indigoworks.gateway.request_sender import RequestSender
from indigoworks.gateway.request_shutdown import RequestShutdown
from indigoworks.gateway.retry_policy import RetryPolicy
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection
from indigoworks.gateway.server_exchange import ServerExchange
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.quarantine.doubt_table import DoubtTable
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.rowstore.row import Row


class RequestSubsystem:
    """The request pipeline and its parts; `front` listens for callers.

    :ivar reachability: checks servers that are silent.
    :ivar path: whether this gateway has lost its path to servers.
    :ivar forward_server: takes requests that peers forward.
    :ivar dispatchers: selects the dispatchers of the owners of keys.
    :ivar outliers: servers that fail, and get fewer requests.
    :ivar doubts: requests under which servers may have crashed, here and at peers.
    :ivar on_notice: called on a server's notice that peers should learn of soon.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        ports: PlatformPorts,
        platform: PlatformSubsystem,
        reach: ReachSubsystem,
        tables: OwnershipTables,
        peers: PeerTable,
        directory: PeerDirectory,
        metrics: Metrics,
        line_rates: LineRateLimiter,
        clock: Clock,
        random: Random,
        own: PeerAddress,
        open_connection: OpenConnection = ServerConnection,
        open_datagrams: OpenDatagrams = DatagramEndpoint,
    ) -> None:
        self.path = reach.path
        limit_memory(settings.memory_mb)
        self.dispatchers = DispatcherSubsystem(
            own, platform.servers, directory, peers, clock, open_connection
        )
        self.server_stats = ServerStats(self.dispatchers.load, clock, reach.down)
        self.sampler = KeySampler()
        self._servers = platform.servers
        self.reachability = ReachabilityMonitor(
            self.server_stats, platform.servers, reach, clock, open_connection
        )
        self.sender = RequestSender(
            ports.names, clock, ports.read_server_load, open_connection, ports.read_server_notice
        )
        self.sender.on_notice = platform.servers.record_notice
        self.sender.is_held_back = platform.servers.is_held_back
        self.notices = NoticeReports(settings.node, platform.servers)
        self.on_notice: Callable[[], None] = lambda: None
        platform.servers.notices.rests.on_change = self._on_server_notice
        platform.servers.notices.on_leaving = self._on_server_notice
        (limits := platform.servers.notices.limits).on_change = self._on_server_notice
        self.sender.is_limit_known = limits.is_known
        self.sender.on_no_limit = platform.servers.record_no_limit
        rate_limiter = ServerRateLimiter(platform.servers.cold, limits, platform.is_keyed, clock)
        self.outliers = OutlierSubsystem(
            settings.node, platform.servers, self.server_stats, reach.path, peers, clock, random
        )
        self.selector = ServerSelector(
            platform.servers,
            self.server_stats,
            rate_limiter,
            settings.zone,
            random,
            directory.has_many,
            self.outliers.detector,
        )
        owners = OwnerLookup(
            tables, platform.servers, self.server_stats, clock, reach.peers.reaches
        )
        self.queue = self.dispatchers.make_queues(
            self.selector, owners, self.server_stats, rate_limiter
        )
        self.outliers.detector.on_change = CoalescedCall(self.queue.capacity_changed).schedule
        self.doubts = DoubtTable(clock, random)
        self._cuts = PartitionMonitor(directory, peers, clock)
        self.brokers = BrokerSubsystem(
            own,
            platform,
            tables,
            peers,
            directory,
            self.server_stats,
            clock,
            random,
            self.doubts,
            self._cuts,
            open_datagrams,
        )
        placer = BrokeredQueue(
            settings.zone,
            self.queue,
            self.brokers.selector,
            self.brokers.client,
            platform.servers,
            owners,
            directory,
            rate_limiter,
            reach.path,
            clock,
            self.sender.connected_servers,
        )
        self.retry_budget = LocalRetryBudget(
            settings.retry_ratio,
            settings.retry_window_s,
            settings.retry_slack,
            peers,
            directory,
            clock,
        )
        responses = GatewayResponses(ports.names)
        log = RequestLog(self.server_stats, RequestMetrics(metrics), line_rates, clock)
        self._quarantine = QuarantineSubsystem(
            own.boot, ports, peers, self._cuts.is_partitioned, clock
        )
        self.quarantine = self._quarantine.quarantine
        self._crash_attribution = CrashAttribution(
            self.quarantine, self.doubts, self.reachability, reach.path, platform.servers, clock
        )
        self.unresolved_losses = self._crash_attribution.losses
        self.doubts.on_last_lifted = self._open_lock
        refusals = ConfigurationRefusals(platform.configurations, responses, log, clock)
        failures = FailureResponses(responses, platform.servers, self.server_stats, log)
        self.forward_client = ForwardClient(clock, open_connection)
        forwarding = RequestForwarding(
            reach,
            platform.servers,
            owners,
            self.forward_client,
            platform.configurations,
            self.retry_budget,
            failures,
            settings.zone,
            log,
            clock,
        )
        retry_policy = RetryPolicy(self._crash_attribution, self.retry_budget, owners, log, clock)
        self._dispatching = self.dispatchers.make_dispatching(
            owners, forwarding.messages, self.retry_budget, retry_policy, failures, log
        )
        active = ActiveRequests()
        pipeline = RequestPipeline(
            RequestRouting(platform.configurations, refusals, clock),
            placer,
            ServerExchange(
                self.sender,
                self.server_stats,
                platform.servers,
                owners,
                self.reachability,
                reach,
                self._crash_attribution,
                self.outliers,
                log,
            ),
            self._dispatching,
            forwarding,
            self.server_stats,
            self._crash_attribution,
            active,
            AttemptGate(
                self._crash_attribution,
                GroupLocks(
                    BrokeredLocks(self.brokers.selector, self.brokers.client, clock),
                    self._quarantine.stored_locks,
                    self._cuts,
                ),
                clock,
            ),
            self.retry_budget,
            retry_policy,
            self.sampler,
            responses,
            failures,
            log,
            clock,
        )
        forwarded = ForwardedRequests(pipeline, platform.configurations, clock)
        self.forward_server = ForwardServer(forwarded.reply)
        self.dispatchers.may_act = lambda: not self.forward_server.is_stopping
        self.front = FrontServer(settings.front_address, ports.names, pipeline.run, refusals, clock)
        self.shutdown = RequestShutdown(self.front, self.forward_server, active, clock)
        platform.configurations.on_change(
            lambda configuration: self.front.set_limits(configuration.limits)
        )

    def _open_lock(self, mark: RequestMark) -> None:
        """Lift the lock of a request whose doubts are lifted, if this broker issues it."""
        if (known := self.quarantine.get(mark)) is None or not known.crashes:
            self.brokers.broker.lift_lock(mark.short)

    def servers_changed(self) -> None:
        """Reassess the waiting requests, of this gateway and as a broker for others."""
        self.queue.capacity_changed()
        self.brokers.broker.servers_changed()

    def _on_server_notice(self) -> None:
        """Reassess the waiting requests after a notice of a server, and report it to peers."""
        self.servers_changed()
        self.on_notice()

    async def run(self) -> None:
        """Write quarantined requests to the store until cancelled."""
        await self._quarantine.run()

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply rows of the control group, after the directory has applied them."""
        self._cuts.apply_rows(rows)
        self._quarantine.apply_rows(rows)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that can change in a running process."""
        self.retry_budget.set_budget(
            settings.retry_ratio, settings.retry_window_s, settings.retry_slack
        )

    def drop_expired(self) -> None:
        """Close connections idle for too long, and drop the state of servers that left."""
        self.front.close_idle()
        self.quarantine.remove_expired()
        self.sender.close_expired()
        self.forward_client.close_expired()
        self.dispatchers.client.close_expired()
        self._servers.remove_expired()
        self.outliers.detector.drop_old()
        self._servers.notices.rests.drop_ended()
        self._servers.notices.limits.drop_ended()
        for server_id in self.sender.known_servers():
            if self._servers.get(server_id) is None:
                self.sender.forget(server_id)
                self.server_stats.forget(server_id)
                self.outliers.forget(server_id)

    def close(self) -> None:
        """Cancel background checks of servers and requests."""
        self._crash_attribution.close()
        self._quarantine.close()
        self.reachability.close()
        self.forward_client.close()
        self._dispatching.close()
        self.dispatchers.client.close()
