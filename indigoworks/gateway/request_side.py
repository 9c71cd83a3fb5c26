"""The parts of a gateway that serve requests."""

from collections.abc import Callable, Sequence
from random import Random

from indigoworks.broker.broker_side import BrokerSide
from indigoworks.broker.brokered_queue import BrokeredQueue
from indigoworks.broker.group_locks import GroupLocks
from indigoworks.broker.stored_locks import StoredLocks
from indigoworks.broker.suspect_locks import SuspectLocks
from indigoworks.common.clock import Clock
from indigoworks.common.logging.line_rates import LineRates
from indigoworks.common.metrics import Metrics
from indigoworks.exchange.cut_watch import CutWatch
from indigoworks.exchange.datagram_port import DatagramPort, OpenDatagrams
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.configuration_refusals import ConfigurationRefusals
from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.front_server import FrontServer
from indigoworks.gateway.gateway_answers import GatewayAnswers
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.harm_watch import HarmWatch
from indigoworks.gateway.key_sampler import KeySampler
from indigoworks.gateway.notice_reports import NoticeReports
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_side import PlatformSide
from indigoworks.gateway.rate_budget import RateBudget
from indigoworks.gateway.reach_watch import ReachWatch
from indigoworks.gateway.repeat_rules import RepeatRules
from indigoworks.gateway.request_flow import RequestFlow
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_metrics import RequestMetrics
from indigoworks.gateway.request_routing import RequestRouting
from indigoworks.gateway.retry_allowance import RetryAllowance
from indigoworks.gateway.server_board import ServerBoard
from indigoworks.gateway.server_choice import ServerChoice
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection
from indigoworks.gateway.server_room import ServerRoom
from indigoworks.gateway.server_sender import ServerSender
from indigoworks.gateway.try_gate import TryGate
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.quarantine.doubt_table import DoubtTable
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.quarantine_rows import QuarantineRows
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.rowstore.row import Row


class RequestSide:
    """Builds the way of a request; `front` listens for callers.

    :ivar doubts: requests under which servers may have ended, here and at peers.
    :ivar on_notice: called when a server asked for something of which peers are to learn soon.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        ports: PlatformPorts,
        platform: PlatformSide,
        tables: OwnershipTables,
        peers: PeerTable,
        directory: PeerDirectory,
        metrics: Metrics,
        line_rates: LineRates,
        clock: Clock,
        random: Random,
        own: PeerAddress,
        open_connection: OpenConnection = ServerConnection,
        open_datagrams: OpenDatagrams = DatagramPort,
    ) -> None:
        self.board = ServerBoard(peers, clock)
        self.sampler = KeySampler()
        self._servers = platform.servers
        self._watch = ReachWatch(self.board, platform.servers, clock, open_connection)
        self.sender = ServerSender(
            ports.names, clock, ports.read_server_word, open_connection, ports.read_server_notice
        )
        self.sender.on_notice = platform.servers.take_notice
        self.sender.is_held_back = platform.servers.is_held_back
        self.notices = NoticeReports(settings.node, platform.servers)
        self.on_notice: Callable[[], None] = _nothing
        platform.servers.notices.rests.on_change = self._take_wish
        platform.servers.notices.on_leaving = self._take_wish
        limits = platform.servers.notices.limits
        limits.on_change = self._take_wish
        self.sender.is_limit_known = limits.is_known
        self.sender.on_no_limit = platform.servers.take_no_limit
        rates = RateBudget(platform.servers.cold, limits, platform.is_keyed, clock)
        self.choice = ServerChoice(
            platform.servers, self.board, rates, settings.zone, random, directory.has_many
        )
        owners = OwnerLookup(tables, platform.servers, self.board, clock)
        self.queue = DispatchQueue(
            self.choice, owners, self.board, ServerRoom(self.board, rates), clock
        )
        self.doubts = DoubtTable(clock, random)
        self._cuts = CutWatch(directory, peers, clock)
        self.brokers = BrokerSide(
            own,
            platform,
            tables,
            peers,
            directory,
            self.board,
            clock,
            random,
            self.doubts,
            self._cuts,
            open_datagrams,
        )
        placer = BrokeredQueue(
            settings.zone,
            self.queue,
            self.brokers.choice,
            self.brokers.client,
            platform.servers,
            owners,
            directory,
            rates,
            clock,
        )
        self.allowance = RetryAllowance(
            settings.retry_ratio,
            settings.retry_window_s,
            settings.retry_slack,
            peers,
            directory,
            clock,
        )
        answers = GatewayAnswers(ports.names)
        log = RequestLog(self.board, RequestMetrics(metrics), line_rates, clock)
        self.quarantine = Quarantine(clock, ports.health.to_store_s)
        group = ControlGroup(ports.health.eras)
        self._stored_locks = StoredLocks(own.boot, ports.store, group, ports.health, clock)
        self._quarantine_rows = QuarantineRows(
            self.quarantine,
            ports.store,
            ports.health,
            CONTROL_TABLE,
            group.transaction,
            clock,
            self._cuts.is_cut,
        )
        peers.on_heard = self.quarantine.tell_again
        self.quarantine.on_verdict = self._quarantine_rows.want
        self.quarantine.on_refusal = self._quarantine_rows.note_refusal
        self.quarantine.on_crash = self._quarantine_rows.note_crash
        self._harm = HarmWatch(self.quarantine, self.doubts, self._watch, platform.servers, clock)
        self.doubts.on_free = self._open_lock
        refusals = ConfigurationRefusals(platform.configurations, answers, log, clock)
        flow = RequestFlow(
            RequestRouting(platform.configurations, refusals, clock),
            placer,
            owners,
            self.sender,
            self.board,
            platform.servers,
            self._watch,
            self._harm,
            TryGate(
                self._harm,
                GroupLocks(
                    SuspectLocks(self.brokers.choice, self.brokers.client, clock),
                    self._stored_locks,
                    self._cuts,
                ),
                clock,
            ),
            self.allowance,
            RepeatRules(self._harm, self.allowance, log, clock),
            self.sampler,
            answers,
            log,
            clock,
        )
        self.front = FrontServer(settings.front_address, ports.names, flow.run, refusals, clock)
        platform.configurations.on_change(
            lambda configuration: self.front.set_limits(configuration.limits)
        )

    def _open_lock(self, mark: RequestMark) -> None:
        """The doubts about a request are lifted: its lock, if it is given out here, is open."""
        known = self.quarantine.get(mark)
        if known is None or not known.crashes:
            self.brokers.broker.open_lock(mark.short)

    def servers_changed(self) -> None:
        """Look at all that waits, here and for others."""
        self.queue.capacity_changed()
        self.brokers.broker.servers_changed()

    def _take_wish(self) -> None:
        """A server asked for rest, or leaves: what waits for it looks elsewhere."""
        self.servers_changed()
        self.on_notice()

    async def run(self) -> None:
        """Write to the store which requests are refused, until cancelled."""
        await self._quarantine_rows.run()

    def take_rows(self, rows: Sequence[Row]) -> None:
        """Take rows of the group, which the directory has taken already."""
        self._cuts.take_rows(rows)
        self._quarantine_rows.take_rows(rows)
        self._stored_locks.take_rows(rows)

    def use_settings(self, settings: GatewaySettings) -> None:
        """Go by what of `settings` can change in a running process."""
        self.allowance.set_budget(
            settings.retry_ratio, settings.retry_window_s, settings.retry_slack
        )

    def tidy(self) -> None:
        """Close connections that rested too long, and forget servers that left."""
        self.front.close_rested()
        self.quarantine.tidy()
        self.sender.drop_old()
        self._servers.forget_old()
        self._servers.notices.rests.drop_ended()
        self._servers.notices.limits.drop_ended()
        for server_id in self.sender.known_servers():
            if self._servers.get(server_id) is None:
                self.sender.forget(server_id)
                self.board.forget(server_id)

    def close(self) -> None:
        """End all checks of servers."""
        self._harm.close()
        self._stored_locks.close()
        self._watch.close()


def _nothing() -> None:
    """Stand in until somebody wants to know."""
