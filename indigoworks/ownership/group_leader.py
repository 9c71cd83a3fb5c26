"""The main loop of a control group's leader: grants, table changes and range moves."""

from collections.abc import Callable, Sequence

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_view import PeerView
from indigoworks.ownership.first_table import FirstTable
from indigoworks.ownership.group_load import GroupLoad
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HoldPolicy
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.leader_replication import NO_REPLICATION, LeaderReplication
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.load_balancer import LoadBalancer
from indigoworks.ownership.lost_leader import LostLeader
from indigoworks.ownership.moves_by_load import moves_outside, overload_moves, rebalance_moves
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.owner_candidates import OwnerCandidates, SpeedOf
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.ownership.possible_holders import PossibleHolders
from indigoworks.ownership.predecessor_watch import PredecessorWatch
from indigoworks.ownership.resting_owners import RestingOwners
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.table_editor import (
    with_moves,
    with_new_token_of,
    with_new_tokens,
    without_former,
)
from indigoworks.ownership.table_recovery import TableRecovery
from indigoworks.ownership.table_writer import TableWriter
from indigoworks.servers.server_source import ServerSource

TICK_S = 0.1
"""Period of the main loop."""

OVERLOAD_CHECK_PERIOD_S = 0.3
"""Time between two checks for overloaded servers."""

REBALANCE_PERIOD_S = 1.5
"""Time between two checks for uneven load without overload."""

CLEANUP_PERIOD_S = 8.0
"""Shortest time between two writes that only remove ruled-out former owners."""

FENCE_PERIOD_S = 1.0
"""Shortest time between two writes that fence off unanswered grants with new tokens."""

LOAD_MOVE_PAUSE_S = 3.0
"""After a failed write no range moves because of load for this long: while answers of the store are
lost, gateways learn of a move late and refuse its keys until then."""


class GroupLeader:
    """Writes tables of owners, keeps their ranges granted, and moves ranges.

    An instance serves one epoch: `run` returns when this process no longer leads.
    """

    def __init__(
        self,
        leadership: Leadership,
        tables: OwnershipTables,
        keepers: KeeperSet,
        bounds: HoldBounds,
        policy: HoldPolicy,
        reach: ServerReach,
        writer: TableWriter,
        servers: ServerSource,
        peers: PeerView,
        keyed_services: Callable[[], Sequence[str]],
        speed_of: SpeedOf,
        clock: Clock,
        replication: LeaderReplication = NO_REPLICATION,
    ) -> None:
        self._leadership = leadership
        self._replication = replication
        self._tables = tables
        self._keepers = keepers
        self._bounds = bounds
        self._policy = policy
        self._reach = reach
        self._writer = writer
        self._servers = servers
        self._keyed_services = keyed_services
        self._clock = clock
        self._load = GroupLoad(peers, clock)
        self._resting = RestingOwners(servers, peers)
        self._candidates = OwnerCandidates(servers, reach, self._resting, speed_of)
        self._overload_checked_s = float("-inf")
        self._rebalanced_s = float("-inf")
        self._cleaned_up_s = float("-inf")
        self._fenced_s = float("-inf")
        self._write_failed_s = float("-inf")
        self._loaded: set[str] = set()
        self._predecessor: PredecessorWatch | None = None
        self._recovery = TableRecovery(
            leadership, tables, writer, keepers, bounds, policy, servers, clock
        )
        holders = PossibleHolders(keepers, bounds, clock)
        self._lost_leader = LostLeader(holders, policy, clock)
        self._first_table = FirstTable(
            leadership, writer, holders, self._lost_leader, servers, clock
        )

    async def run(self, predecessor: LeaderRow) -> None:
        """Lead until the leader row no longer names this process for its epoch."""
        watch = self._predecessor = self._make_watch(predecessor)
        epoch = self._leadership.row.epoch
        self._reach.begin_term()
        await self._writer.reread()
        watch.start_epoch()
        self._replication.start(epoch, watch.row_to_fence(), watch.use_grants)
        self._leadership.start_acting(epoch, watch.bound, self._bounds, self._reach.orders)
        try:
            while self._leads(epoch) and not await self._load_tables():
                await self._clock.sleep(TICK_S)
            while self._leads(epoch):
                watch.update()
                self._bounds.drop_expired()
                self._load.collect_samples(self._keyed_services())
                for service in self._keyed_services():
                    await self._update_service(service)
                await self._clock.sleep(TICK_S)
        finally:
            self._keepers.stop_all()
            self._replication.stop()

    def _make_watch(self, predecessor: LeaderRow) -> PredecessorWatch:
        return PredecessorWatch(
            predecessor,
            self._leadership,
            self._tables,
            self._bounds,
            self._policy,
            self._reach,
            self._clock,
        )

    def _leads(self, epoch: int) -> bool:
        """Return whether the newest known leader row still names this process for `epoch`."""
        return self._leadership.row.epoch == epoch and self._leadership.is_named()

    # ---- start of an epoch ----

    async def _load_tables(self) -> bool:
        """Read the tables that the last leader wrote and give all ranges new tokens.

        Returns False if a step failed, such as a write whose answer was lost; the caller then
        retries from the rows as they are.
        """
        if not await self._writer.reread():
            return False
        for service in self._keyed_services():
            if not await self._load_table(service):
                return False
        return True

    async def _load_table(self, service: str) -> bool:
        table = self._tables.table(service)
        self._mark_inherited(service, table)
        if table.version.era != self._leadership.era:
            is_loaded = await self._recovery.carry_over(service)
        else:
            if self._predecessor is None or self._predecessor.bound.is_row_missing:
                self._lost_leader.record_holds(table)
            new_tokens = with_new_tokens(table)
            is_loaded = not table.ranges or await self._writer.write(new_tokens, "new_leader")
        if is_loaded:
            self._loaded.add(service)
        return is_loaded

    def _mark_inherited(self, service: str, table: OwnershipTable) -> None:
        for owned in table.ranges:
            keys = (owned.first, owned.last)
            self._bounds.mark_inherited(owned.server_id, *keys)
            self._bounds.mark_unfenced(owned.server_id, *keys)
            for former in owned.former:
                self._bounds.mark_inherited(former.server_id, *keys)
                if self._predecessor is None or self._predecessor.may_be_pending(service, *keys):
                    self._bounds.mark_unfenced(former.server_id, *keys)

    # ---- one service ----

    async def _update_service(self, service: str) -> None:
        if not self._leadership.may_act():
            return
        # The configuration may be read, or add a service, after this process began to lead.
        if service not in self._loaded and not await self._load_table(service):
            return
        table = self._tables.table(service)
        if not table.ranges:
            await self._first_table.write(service)
            return
        self._keepers.update(service, table)
        changed = self._changed_table(service, table)
        if changed is not None and not await self._writer.write(*changed):
            self._write_failed_s = self._clock.now()

    def _changed_table(
        self, service: str, table: OwnershipTable
    ) -> tuple[OwnershipTable, str] | None:
        """Return the next version of a table, with the reason; None: nothing to change."""
        if self._writer.is_unsettled(service):
            return table, "settle"
        fenced = self._keepers.needing_token(service)
        if fenced:
            step = self._first_table.next_token_step(service)
            return with_new_token_of(table, fenced, step), "fenced"
        returns = self._keepers.return_moves(service)
        if returns:
            return with_moves(table, returns), returns[0].reason
        # Ruled-out former owners are removed together with any other change.
        granted = [each for each in self._keepers.granted(service) if each.former]
        cleaned = without_former(table, granted) if granted else table
        needing_fence = self._keepers.needing_fence(service)
        if needing_fence and self._clock.now() - self._fenced_s >= FENCE_PERIOD_S:
            self._fenced_s = self._clock.now()
            fenced_table = with_new_token_of(table, needing_fence)
            return without_former(fenced_table, granted), "unanswered"
        moved = self._moved_table(service, cleaned, needing_fence)
        return moved or self._cleaned_table(cleaned, bool(granted))

    def _moved_table(
        self, service: str, table: OwnershipTable, needing_fence: Sequence[OwnedRange]
    ) -> tuple[OwnershipTable, str] | None:
        """Return the table after the moves that are due; ranges in `needing_fence` stay.

        Their owners may still apply an earlier grant late, which a release does not rule out.
        """
        to_drain = self._candidates.servers_to_drain(table)
        targets = self._candidates.capacities(service, to_drain)
        window = self._load.slow(service)
        resting = self._resting.owners_to_relieve(table, window, targets)
        to_drain.update({each: "resting" for each in resting if each not in to_drain})
        balancer = LoadBalancer(table, window)
        moves = moves_outside(balancer.drain_moves(to_drain, targets), needing_fence)
        if moves:
            return with_moves(table, moves), moves[0].reason
        return self._balanced_table(service, table, targets, needing_fence)

    def _balanced_table(
        self,
        service: str,
        table: OwnershipTable,
        servers: list[ServerCapacity],
        needing_fence: Sequence[OwnedRange],
    ) -> tuple[OwnershipTable, str] | None:
        now_s = self._clock.now()
        if (
            now_s - self._overload_checked_s < OVERLOAD_CHECK_PERIOD_S
            or now_s - self._write_failed_s < LOAD_MOVE_PAUSE_S
        ):
            return None
        self._overload_checked_s = now_s
        moves = moves_outside(overload_moves(table, self._load, servers), needing_fence)
        if not moves and now_s - self._rebalanced_s > REBALANCE_PERIOD_S:
            self._rebalanced_s = now_s
            moves = moves_outside(rebalance_moves(table, self._load, servers), needing_fence)
        return (with_moves(table, moves), moves[0].reason) if moves else None

    def _cleaned_table(
        self, cleaned: OwnershipTable, is_changed: bool
    ) -> tuple[OwnershipTable, str] | None:
        if not is_changed or self._clock.now() - self._cleaned_up_s < CLEANUP_PERIOD_S:
            return None
        self._cleaned_up_s = self._clock.now()
        return cleaned, "former_ruled_out"
