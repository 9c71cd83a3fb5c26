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
from indigoworks.ownership.moves_by_load import even_moves, urgent_moves
from indigoworks.ownership.owned_range import OwnedRange
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
from indigoworks.servers.server_record import ServerRecord
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

SpeedOf = Callable[[str], float]
"""Seconds that a request takes at a server, by its id."""


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
        self._speed_of = speed_of
        self._clock = clock
        self._load = GroupLoad(peers, clock)
        self._resting = RestingOwners(servers, peers)
        self._balanced_s = float("-inf")
        self._evened_s = float("-inf")
        self._cleaned_s = float("-inf")
        self._fenced_s = float("-inf")
        self._failed_s = float("-inf")
        self._seen: dict[str, tuple[frozenset[str], float]] = {}
        self._recovery = TableRecovery(
            leadership, tables, writer, keepers, bounds, policy, servers, clock
        )

    async def run(self, predecessor: LeaderRow) -> None:
        """Lead until another leader is named, or none."""
        before = PredecessorBound(predecessor, self._leadership.signs)
        epoch = self._leadership.row.epoch
        await self._writer.read_again()
        if not self._leadership.led_former_era(self._leadership.era - 1):
            self._bounds.start_epoch(self._predecessor_until_s(before))
        self._leadership.start_acting(epoch, before, self._bounds, self._reach.orders)
        try:
            while self._leads(epoch) and not await self._take_tables():
                await self._clock.sleep(TICK_S)
            while self._leads(epoch):
                self._watch_predecessor(before)
                self._bounds.drop_past()
                self._load.take_samples(self._keyed_services())
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
        if self._tables.has_any_of(era) or self._leadership.knows_former_era(era - 1):
            return before.until_s(self._clock.now(), self._policy.longest_max_s)
        return float("-inf")

    def _leads(self, epoch: int) -> bool:
        """Tell whether the newest known row still names this process for `epoch`."""
        return self._leadership.row.epoch == epoch and self._leadership.is_named()

    # ---- beginning ----

    def _watch_predecessor(self, before: PredecessorBound) -> None:
        """Lower the bound once the predecessor is known to act no longer."""
        if before.acts_no_more():
            until_s = before.until_s(self._clock.now(), self._policy.longest_max_s)
            self._bounds.tighten_predecessor(until_s)

    async def _take_tables(self) -> bool:
        """Read the tables as the last leader left them and put new tokens on all ranges.

        False where that did not come about, such as by a write whose answer was lost: it is then to
        be done again from the rows as they are.
        """
        if not await self._writer.read_again():
            return False
        for service in self._keyed_services():
            if not await self._take_table(service):
                return False
        return True

    async def _take_table(self, service: str) -> bool:
        table = self._tables.table(service)
        if table.version.era != self._leadership.era:
            return await self._recovery.carry_over(service)
        return not table.ranges or await self._writer.write(with_new_tokens(table), "new_leader")

    # ---- one service ----

    async def _look_after(self, service: str) -> None:
        if not self._leadership.may_act():
            return
        table = self._tables.table(service)
        if table.version.era != self._leadership.era:
            if not await self._recovery.carry_over(service):
                return
            table = self._tables.table(service)
        if not table.ranges:
            await self._first_table(service)
            return
        self._keepers.keep(service, table)
        changed = self._changed_table(service, table)
        if changed is not None and not await self._writer.write(*changed):
            self._failed_s = self._clock.now()

    def _changed_table(
        self, service: str, table: OwnershipTable
    ) -> tuple[OwnershipTable, str] | None:
        """Return the next change of a table, with its reason; None: it is to stay."""
        if self._writer.is_unsettled(service):
            return table, "settle"
        fenced = self._keepers.wanting_token(service)
        if fenced:
            return with_new_token_of(table, fenced), "fenced"
        late = self._late_to_rule_out(service)
        fencing = with_new_token_of(table, late) if late else table
        # Former owners that are ruled out leave the row with whatever else is written: each write
        # goes to every gateway.
        granted = [each for each in self._keepers.granted(service) if each.former]
        cleaned = without_former(fencing, granted) if granted else fencing
        moved = self._moved_table(service, cleaned)
        if moved is not None or late:
            self._fenced_s = self._clock.now() if late else self._fenced_s
            return moved or (cleaned, "unanswered")
        return self._cleaned_table(cleaned, bool(granted))

    def _late_to_rule_out(self, service: str) -> list[OwnedRange]:
        """Return ranges whose owners may take a grant late; a new token is to rule that out."""
        if self._clock.now() - self._fenced_s < FENCE_PERIOD_S:
            return []
        return self._keepers.wanting_fence(service)

    def _moved_table(
        self, service: str, table: OwnershipTable
    ) -> tuple[OwnershipTable, str] | None:
        leavers = self._leavers(service, table)
        stayers = self._capacities(service, leavers)
        window = self._load.slow(service)
        resting = self._resting.to_relieve(table, window, stayers)
        leavers.update({each: "resting" for each in resting if each not in leavers})
        balancer = LoadBalancer(table, window)
        moves = balancer.moves_of_leavers(leavers, stayers)
        if moves:
            return with_moves(table, moves), moves[0].reason
        return self._balanced_table(service, table, stayers)

    def _leavers(self, service: str, table: OwnershipTable) -> dict[str, str]:
        """Return the owners that are to lose their ranges, with the reason."""
        leavers: dict[str, str] = {}
        for owned in table.ranges:
            if not self._servers.is_usable(owned.server_id):
                leavers[owned.server_id] = "leaving"
            elif self._reach.is_lost(owned.server_id):
                leavers[owned.server_id] = "out_of_reach"
        return leavers

    def _capacities(self, service: str, leavers: dict[str, str]) -> list[ServerCapacity]:
        """Return the servers that may be given keys: not cold ones, unless all are, and none that
        asked for rest.

        A cold server falls over at little more than half of its usual load, and one that turns all
        away has no load and looks idle.
        """
        stayers = [
            each
            for each in self._servers.usable(service)
            if each.server_id not in leavers
            and not self._reach.is_suspect(each.server_id)
            and not self._resting.is_resting(each.server_id)
        ]
        warm = [each for each in stayers if not self._servers.is_cold(each.server_id)]
        return [self._capacity(each) for each in warm or stayers]

    def _capacity(self, server: ServerRecord) -> ServerCapacity:
        """Return what a server can do; one that names a limit keeps the keys that it can serve, so
        that its answers go on to tell of the limit."""
        limit_per_s = self._servers.limit_per_s(server.server_id)
        return ServerCapacity(
            server.server_id,
            server.slots,
            server.slots / self._speed_of(server.server_id),
            float("inf") if limit_per_s is None else limit_per_s,
        )

    def _balanced_table(
        self, service: str, table: OwnershipTable, servers: list[ServerCapacity]
    ) -> tuple[OwnershipTable, str] | None:
        now_s = self._clock.now()
        if now_s - self._balanced_s < BALANCE_PERIOD_S or now_s - self._failed_s < LOAD_REST_S:
            return None
        self._balanced_s = now_s
        moves = urgent_moves(table, self._load, servers)
        if not moves and now_s - self._evened_s > EVEN_PERIOD_S:
            self._evened_s = now_s
            moves = even_moves(table, self._load, servers)
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
