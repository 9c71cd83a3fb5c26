"""The parts of a gateway that take part in the control group."""

from collections.abc import Callable, Iterable, Sequence
from random import Random

from indigoworks.common.clock import Clock
from indigoworks.common.coalesced_call import CoalescedCall
from indigoworks.exchange.lag_monitor import LagMonitor
from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.process_id import ProcessId
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_subsystem import FEED_WAIT_S, PlatformSubsystem
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.ownership.challenge_delay import ChallengeDelay
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.ownership.group_leader import GroupLeader
from indigoworks.ownership.group_member import GroupMember
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HoldPolicy
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.leader_fitness import LeaderFitness
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.ownership.range_keeper import RangeKeeper
from indigoworks.ownership.renewal_schedule import GrowingSchedule
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.table_writer import TableWriter
from indigoworks.ownership.witness_subsystem import WitnessSubsystem
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.relay.relay_selector import relay_capacity
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks.rowstore.table_follower import TableFollower

REVIEW_DELAY_S = 0.02
"""Time after a peer's report until waiting requests are reviewed in a large group. A hub gets over
200 reports a second there, and each is older than this delay when it arrives."""

LEADER_WAIT_S = 0.8
"""Longest poll of the feed of the group's rows at the leader."""


class ControlSubsystem:
    """Leadership, ownership tables, and the leader's work on them.

    :ivar tables: owners of all services according to the store.
    :ivar order_reach: whether orders reach servers.
    :ivar fitness: whether this process should lead.
    :ivar witnesses: replication of the leader's open grants.
    """

    def __init__(
        self,
        boot: str,
        settings: GatewaySettings,
        ports: PlatformPorts,
        platform: PlatformSubsystem,
        reach: ReachSubsystem,
        peers: PeerTable,
        directory: PeerDirectory,
        tables: OwnershipTables,
        clock: Clock,
        random: Random,
    ) -> None:
        self._ports = ports
        self._platform = platform
        self._peers = peers
        self._directory = directory
        self.tables = tables
        self._clock = clock
        self.group = ControlGroup(ports.health.eras)
        self.leadership = Leadership(
            settings.node,
            boot,
            self.group,
            ports.store,
            ports.health,
            peers,
            directory,
            clock,
            ChallengeDelay(
                settings.node,
                relay_capacity(settings.capacity_cores, settings.link_mbit),
                peers,
                directory,
                random,
            ),
        )
        ports.orders.add_notice_listener(platform.servers.record_notice)
        self._bounds = HoldBounds(clock)
        self._policy = HoldPolicy(ports.health, settings.hold_max_s)
        self.order_reach = ServerReach(clock)
        self.order_reach.on_answer = reach.path.record_answer
        self.order_reach.on_failure = reach.record_failure
        self.order_reach.is_path_lost = lambda: reach.path.is_lost
        reach.order_failures = self._order_failures
        reach.path.on_back(self.order_reach.forget_failures)
        self.fitness = LeaderFitness(self.leadership, self.order_reach, reach, self._owners, clock)
        self.leadership.may_lead = self.fitness.may_lead
        self.witnesses = WitnessSubsystem(
            ProcessId(settings.node, boot),
            settings.zone,
            self.leadership,
            self._bounds,
            self.order_reach,
            self._policy,
            peers,
            directory,
            self._owners,
            platform.servers.is_gone,
            clock,
        )
        self.keepers = KeeperSet(self._make_keeper)
        self._schedule = GrowingSchedule(
            ports.health, self._bounds, self.order_reach, clock, self.keepers.count
        )
        self._server_stats: ServerStats | None = None
        self.send_report_now: Callable[[], None] = _nothing
        self.owners_changed: Callable[[], None] = _nothing
        self._review_after_reports = CoalescedCall(lambda: self.owners_changed(), REVIEW_DELAY_S)
        self.on_rows: Callable[[Sequence[Row]], None] = lambda rows: None
        self.member = GroupMember(self.leadership, self._make_leader, clock)
        self.follower = TableFollower(
            ports.store,
            CONTROL_TABLE,
            lambda: self.group.part,
            self._feed_wait_s,
            clock,
            self._apply_rows,
            self._apply_rows,
            self.leadership.record_proof,
        )
        self.leadership.proof.on_conflict = self.follower.request_reread
        platform.on_store_path_failed(self.follower.request_reread)
        ports.health.eras.on_new(self.follower.request_reread)
        self.group_version = NO_VERSION
        self._lags = (
            LagMonitor(
                "operator",
                platform.operator_position,
                platform.followers[0].request_reread,
                clock,
            ),
            LagMonitor("group", lambda: self.group_version, self.follower.request_reread, clock),
        )

    async def follow_rows(self) -> None:
        """Follow the group's rows until cancelled; the store's era determines their part."""
        await self._ports.health.eras.wait_known()
        await self.follower.run()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that can change in a running process."""
        self._policy.set_hold_max(settings.hold_max_s)

    def use_server_stats(self, server_stats: ServerStats) -> None:
        """Use the measured service times of `server_stats`."""
        self._server_stats = server_stats

    def beat(self) -> LeaderBeat | None:
        """Return the leader's beat (heartbeat) to send; None if this process does not lead."""
        if not self.leadership.may_act():
            return None
        return LeaderBeat(
            epoch=self.leadership.row.epoch,
            proof_age_s=self.leadership.proof_age_s(),
            hold_s=self._bounds.longest_left_s(),
            pending=self.keepers.pending(),
            earlier_hold_s=self._earlier_hold_s(),
            silent_servers=self.order_reach.silent_servers(),
        )

    def _earlier_hold_s(self) -> float:
        """Return for how many seconds servers may still hold keys by grants of earlier leaders.

        A leader that may not act yet derives it from what it knows of its predecessor.
        """
        if self.leadership.is_acting():
            return self._bounds.earlier_left_s()
        before = PredecessorBound(self.leadership.previous_leader_row(), self.leadership.liveness)
        now_s = self._clock.now()
        return max(0.0, before.until_s(now_s, self._policy.longest_max_s) - now_s)

    def apply_report(self, report: PeerReport) -> None:
        """Apply a report of a peer."""
        era = max(report.operator_row_version.era, report.group_version.era)
        self._ports.health.eras.record_era(era, report.node)
        self.leadership.liveness.record_report(report)
        self._lags[0].record_version(report.node, report.operator_row_version)
        configurations = self._platform.configurations
        configurations.record_newer_version(report.configuration_version, self._clock.now())
        self._lags[1].record_version(report.node, report.group_version)
        if report.leader is not None and report.leader.epoch >= self.leadership.row.epoch:
            self.tables.apply_beat(report.leader)
        is_many = self._directory.has_many()
        (self._review_after_reports.schedule if is_many else self.owners_changed)()

    def _feed_wait_s(self) -> float:
        """Return the longest poll: short at a leader, since each answer proves its leadership."""
        return LEADER_WAIT_S if self.leadership.may_act() else FEED_WAIT_S

    def configuration_version(self) -> int:
        """Return the version of the configuration in force; 0 if there is none."""
        configuration = self._platform.configurations.current()
        return 0 if configuration is None else configuration.version

    def _apply_rows(self, rows: Sequence[Row]) -> None:
        self.group_version = max((self.group_version, *(each.version for each in rows)))
        self.leadership.apply(rows)
        self._directory.apply(rows)
        self.on_rows(rows)
        if self.tables.apply(rows):
            self.owners_changed()

    def _make_keeper(self, service: str, owned: OwnedRange) -> RangeKeeper:
        return RangeKeeper(
            service,
            owned,
            self.leadership,
            self._ports.orders,
            self._platform.servers,
            self._bounds,
            self._policy,
            self.order_reach,
            self._clock,
            self._pending_changed,
            self.witnesses.replicator,
            self._schedule,
        )

    def _pending_changed(self) -> None:
        """Announce the pending ranges at once, since requests wait for them."""
        beat = self.beat()
        if beat is not None:
            self.tables.apply_beat(beat)
        self.send_report_now()
        self.owners_changed()

    def _make_leader(self) -> GroupLeader:
        self.follower.request_reread()
        writer = TableWriter(
            self.group,
            self.leadership,
            self.tables,
            self.keepers,
            self._ports.store,
            self._clock,
            self._pending_changed,
            self.witnesses.replication,
            self._platform.servers,
        )
        return GroupLeader(
            self.leadership,
            self.tables,
            self.keepers,
            self._bounds,
            self._policy,
            self.order_reach,
            writer,
            self._platform.servers,
            self._peers,
            self._keyed_services,
            self._service_time_of,
            self._clock,
            self.witnesses.replication,
        )

    def _keyed_services(self) -> Sequence[str]:
        configuration = self._platform.configurations.current()
        if configuration is None:
            return ()
        return [each.name for each in configuration.keyed_services()]

    def _order_failures(self) -> Iterable[str]:
        """Return the servers that orders do not reach, while this process leads."""
        return self.order_reach.suspect_servers() if self.leadership.may_act() else ()

    def _owners(self) -> set[str]:
        return {
            owned.server_id
            for service in self._keyed_services()
            for owned in self.tables.table(service).ranges
        }

    def _service_time_of(self, server_id: str) -> float:
        assert self._server_stats is not None
        return self._server_stats.service_time_by_id_s(server_id)


def _nothing() -> None:
    """Default of a callback until the gateway sets it."""
