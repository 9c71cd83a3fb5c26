"""What the leader of a control group does."""

from collections.abc import Callable, Sequence

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_view import PeerView
from indigoworks.ownership.era_numbers import first_number
from indigoworks.ownership.group_load import GroupLoad
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HoldPolicy
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.load_balancer import LoadBalancer
from indigoworks.ownership.moves_by_load import moves_outside, overload_moves, rebalance_moves
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.owner_candidates import OwnerCandidates, SpeedOf
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.ownership.resting_owners import RestingOwners
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.table_editor import (
    first_table,
    with_moves,
    with_new_token_of,
    with_new_tokens,
    without_former,
)
from indigoworks.ownership.table_recovery import TableRecovery
from indigoworks.ownership.table_writer import TableWriter
from indigoworks.servers.server_source import ServerSource

TICK_S = 0.1
"""Time between two looks at what has changed."""

BALANCE_PERIOD_S = 0.3
"""Time between two decisions on servers that are too busy."""

EVEN_PERIOD_S = 1.5
"""Time between two decisions on servers that are merely busier than others."""

CLEAN_PERIOD_S = 8.0
"""Former owners that are ruled out are taken out of the rows so often where nothing else is
written."""

FENCE_PERIOD_S = 1.0
"""Grants that were not answered are ruled out so often at most: each time is a write."""

LOAD_REST_S = 3.0
"""After a write that failed nothing moves for the sake of load for so long: while answers of the
store are lost, gateways hear late of a move, and until then its keys are refused."""

SETTLE_S = 1.5
"""Before the first table of a service is written, its servers have stood so long unchanged: at the
start of everything they record themselves one after the other."""


class GroupLeader:
    """Writes tables of owners, keeps their ranges granted, and moves ranges.

    One life of it is one epoch: `run` returns when this process leads no longer.
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
    ) -> None:
        self._leadership = leadership
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
        self._balanced_s = float("-inf")
        self._evened_s = float("-inf")
        self._cleaned_s = float("-inf")
        self._fenced_s = float("-inf")
        self._failed_s = float("-inf")
        self._taken: set[str] = set()
        self._before: PredecessorBound | None = None
        self._seen: dict[str, tuple[frozenset[str], float]] = {}
        self._recovery = TableRecovery(
            leadership, tables, writer, keepers, bounds, policy, servers, clock
        )

    async def run(self, predecessor: LeaderRow) -> None:
        """Lead until another leader is named, or none."""
        before = self._before = PredecessorBound(predecessor, self._leadership.liveness)
        epoch = self._leadership.row.epoch
        await self._writer.reread()
        if not self._leadership.led_former_era(self._leadership.era - 1):
            self._bounds.start_epoch(self._predecessor_until_s(before))
            for server_id in before.silent_servers():
                self._reach.mark_silent(server_id)
        self._leadership.start_acting(epoch, before, self._bounds, self._reach.orders)
        try:
            while self._leads(epoch) and not await self._take_tables():
                await self._clock.sleep(TICK_S)
            while self._leads(epoch):
                self._watch_predecessor(before)
                self._bounds.drop_expired()
                self._load.collect_samples(self._keyed_services())
                for service in self._keyed_services():
                    await self._look_after(service)
                await self._clock.sleep(TICK_S)
        finally:
            self._keepers.stop_all()

    def _predecessor_until_s(self, before: PredecessorBound) -> float:
        """Return the bound of what the leader before this one has granted.

        Minus infinity in an era that has no tables yet, unless this process followed the former one
        to its end: what anybody may have granted is then noted range by range when the tables are
        brought into the new era.
        """
        era = self._leadership.era
        if self._tables.has_tables_of(era) or self._leadership.knows_former_era(era - 1):
            return before.until_s(self._clock.now(), self._policy.longest_max_s)
        return float("-inf")

    def _leads(self, epoch: int) -> bool:
        """Tell whether the newest known row still names this process for `epoch`."""
        return self._leadership.row.epoch == epoch and self._leadership.is_named()

    # ---- beginning ----

    def _watch_predecessor(self, before: PredecessorBound) -> None:
        """Lower the bound once the predecessor is known to act no longer."""
        if before.has_stopped_acting():
            until_s = before.until_s(self._clock.now(), self._policy.longest_max_s)
            self._bounds.lower_predecessor_bound(until_s)

    async def _take_tables(self) -> bool:
        """Read the tables as the last leader left them and put new tokens on all ranges.

        False where that did not come about, such as by a write whose answer was lost: it is then to
        be done again from the rows as they are.
        """
        if not await self._writer.reread():
            return False
        for service in self._keyed_services():
            if not await self._take_table(service):
                return False
        return True

    async def _take_table(self, service: str) -> bool:
        table = self._tables.table(service)
        self._note_inherited(service, table)
        if table.version.era != self._leadership.era:
            is_taken = await self._recovery.carry_over(service)
        else:
            new_tokens = with_new_tokens(table)
            is_taken = not table.ranges or await self._writer.write(new_tokens, "new_leader")
        if is_taken:
            self._taken.add(service)
        return is_taken

    def _note_inherited(self, service: str, table: OwnershipTable) -> None:
        for owned in table.ranges:
            keys = (owned.first, owned.last)
            self._bounds.mark_inherited(owned.server_id, *keys)
            self._bounds.mark_unfenced(owned.server_id, *keys)
            for former in owned.former:
                self._bounds.mark_inherited(former.server_id, *keys)
                if self._before is None or self._before.may_be_pending(service, *keys):
                    self._bounds.mark_unfenced(former.server_id, *keys)

    # ---- one service ----

    async def _look_after(self, service: str) -> None:
        if not self._leadership.may_act():
            return
        # The configuration may be read, or name a service, only after this process began to lead.
        if service not in self._taken and not await self._take_table(service):
            return
        table = self._tables.table(service)
        if not table.ranges:
            await self._first_table(service)
            return
        self._keepers.update(service, table)
        changed = self._changed_table(service, table)
        if changed is not None and not await self._writer.write(*changed):
            self._failed_s = self._clock.now()

    def _changed_table(
        self, service: str, table: OwnershipTable
    ) -> tuple[OwnershipTable, str] | None:
        """Return the next change of a table, with its reason; None: it is to stay."""
        if self._writer.is_unsettled(service):
            return table, "settle"
        fenced = self._keepers.needing_token(service)
        if fenced:
            return with_new_token_of(table, fenced), "fenced"
        returns = self._keepers.return_moves(service)
        if returns:
            return with_moves(table, returns), returns[0].reason
        # Former owners that are ruled out leave the row with whatever else is written.
        granted = [each for each in self._keepers.granted(service) if each.former]
        cleaned = without_former(table, granted) if granted else table
        late = self._keepers.needing_fence(service)
        if late and self._clock.now() - self._fenced_s >= FENCE_PERIOD_S:
            self._fenced_s = self._clock.now()
            fenced_table = with_new_token_of(table, late)
            return without_former(fenced_table, granted), "unanswered"
        moved = self._moved_table(service, cleaned, late)
        return moved or self._cleaned_table(cleaned, bool(granted))

    def _moved_table(
        self, service: str, table: OwnershipTable, late: Sequence[OwnedRange]
    ) -> tuple[OwnershipTable, str] | None:
        """Return the table after the moves that are due; `late` ranges stay.

        Their owners answer and may take an earlier grant late, which a release does not rule out.
        """
        leavers = self._candidates.servers_to_drain(table)
        stayers = self._candidates.capacities(service, leavers)
        window = self._load.slow(service)
        resting = self._resting.to_relieve(table, window, stayers)
        leavers.update({each: "resting" for each in resting if each not in leavers})
        balancer = LoadBalancer(table, window)
        moves = moves_outside(balancer.drain_moves(leavers, stayers), late)
        if moves:
            return with_moves(table, moves), moves[0].reason
        return self._balanced_table(service, table, stayers, late)

    def _balanced_table(
        self,
        service: str,
        table: OwnershipTable,
        servers: list[ServerCapacity],
        late: Sequence[OwnedRange],
    ) -> tuple[OwnershipTable, str] | None:
        now_s = self._clock.now()
        if now_s - self._balanced_s < BALANCE_PERIOD_S or now_s - self._failed_s < LOAD_REST_S:
            return None
        self._balanced_s = now_s
        moves = moves_outside(overload_moves(table, self._load, servers), late)
        if not moves and now_s - self._evened_s > EVEN_PERIOD_S:
            self._evened_s = now_s
            moves = moves_outside(rebalance_moves(table, self._load, servers), late)
        return (with_moves(table, moves), moves[0].reason) if moves else None

    def _cleaned_table(
        self, cleaned: OwnershipTable, is_changed: bool
    ) -> tuple[OwnershipTable, str] | None:
        if not is_changed or self._clock.now() - self._cleaned_s < CLEAN_PERIOD_S:
            return None
        self._cleaned_s = self._clock.now()
        return cleaned, "former_ruled_out"

    async def _first_table(self, service: str) -> None:
        servers = sorted(self._servers.usable(service), key=lambda each: each.server_id)
        names = frozenset(each.server_id for each in servers)
        now_s = self._clock.now()
        if service not in self._seen or self._seen[service][0] != names:
            self._seen[service] = (names, now_s)
        if not servers or now_s - self._seen[service][1] < SETTLE_S:
            return
        slots = [each.slots for each in servers]
        above = first_number(self._leadership.era)
        table = first_table(service, sorted(names), slots, above)
        await self._writer.write(table, "first")
