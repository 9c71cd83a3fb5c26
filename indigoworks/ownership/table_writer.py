"""Reads and writes the rows of a control group as its leader."""

from collections.abc import Callable
from dataclasses import replace

from eliot import log_message
from result import Err, Ok

from indigoworks.common.clock import Clock
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_replication import NO_REPLICATION, LeaderReplication
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX, OwnershipTables
from indigoworks.rowstore.errors import ConditionFailed
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.transaction import ExpectedVersion, RowPut, Transaction
from indigoworks.servers.server_source import ServerSource

READ_RETRY_S = 0.1

MAX_FORMER_ERAS = 8
"""Number of former eras that are searched for tables: the store may have returned several times
before a leader could write any."""


class TableWriter:
    """Writes ownership tables on the condition that this process leads.

    Renewals of a range stop before a write takes keys from its owner, so that its hold ends.

    :param on_pending_changed: called after each write, when new ranges are not granted yet.
    :param servers: whose starts are written beside the ranges that they own; None: none are.
    """

    def __init__(
        self,
        group: ControlGroup,
        leadership: Leadership,
        tables: OwnershipTables,
        keepers: KeeperSet,
        store: RowStore,
        clock: Clock,
        on_pending_changed: Callable[[], None],
        replication: LeaderReplication = NO_REPLICATION,
        servers: ServerSource | None = None,
    ) -> None:
        self._group = group
        self._leadership = leadership
        self._tables = tables
        self._keepers = keepers
        self._store = store
        self._clock = clock
        self._on_pending_changed = on_pending_changed
        self._replication = replication
        self._servers = servers
        self._unsettled: set[str] = set()

    def is_unsettled(self, service: str) -> bool:
        """Return whether a failed write may still be applied; a later write rules that out."""
        return service in self._unsettled

    async def reread(self) -> bool:
        """Read all rows of the group; returns False if this process no longer leads."""
        until_s = self._clock.now() + LEADER_LEASE_S
        while self._leadership.is_named() and self._clock.now() < until_s:
            part = self._group.part
            result = await self._store.read(CONTROL_TABLE, part)
            # An era may begin between the response and this turn of the event loop.
            if isinstance(result, Err) or not part.is_valid_in(self._group.eras.current):
                await self._clock.sleep(READ_RETRY_S)
                continue
            answer = result.unwrap()
            self._leadership.apply(answer.rows)
            self._leadership.record_proof(answer.as_of_s)
            self._tables.apply(answer.rows)
            return self._leadership.may_act()
        return False

    async def read_former_eras(self) -> bool:
        """Apply the tables of the newest former era of which the store has any.

        Returns False if this process no longer leads.
        """
        newest = self._leadership.era - 1
        for era in range(newest, max(-1, newest - MAX_FORMER_ERAS), -1):
            rows = await self._read_former_era(era)
            if rows is None:
                return False
            for row in rows:
                if row.key == LEADER_KEY:
                    self._leadership.record_former_row(LeaderRow.decode(row.value, row.version))
            # A process that followed that era to its end knows the table of then; newer rows were
            # written late.
            if not self._leadership.knows_former_era(era):
                self._tables.apply(rows)
            if any(row.key.startswith(OWNERS_PREFIX) for row in rows):
                break
        return self._leadership.may_act()

    async def _read_former_era(self, era: int) -> tuple[Row, ...] | None:
        """Return the rows of a former era; None: this process no longer leads."""
        while self._leadership.may_act():
            result = await self._store.read(CONTROL_TABLE, self._group.part_in(era))
            if isinstance(result, Ok):
                return result.unwrap().rows
            await self._clock.sleep(READ_RETRY_S)
        return None

    async def write(self, table: OwnershipTable, reason: str) -> bool:
        """Write a table on the condition that this process leads and the row is unchanged."""
        if not self._leadership.may_act():
            return False
        # A successor that reads the table has to know of the holds that it was made by.
        if not await self._replication.sync_possible_holds():
            return False
        table = replace(table, starts=self._starts(table))
        await self._keepers.quiesce(table.service, table)
        async with self._leadership.row_lock:
            if not self._leadership.may_act():
                # The leader row may name another by now; the condition would then match its row.
                self._keepers.resume(table.service)
                return False
            sent_s = self._clock.now()
            transaction = self._transaction(table)
            result = await self._store.commit(transaction)
        if isinstance(result, Err):
            error = result.unwrap_err()
            log_message(
                message_type="ownership:write_failed",
                level="WARNING",
                service=table.service,
                reason=reason,
                error=error.kind,
            )
            # The write may still be applied: ranges that it takes from owners are not renewed until
            # another write of this row rules it out.
            self._unsettled.add(table.service)
            self._leadership.proof.record_failed_write(error, self._leadership.row.epoch)
            has_read = await self.reread()
            if has_read and isinstance(error, ConditionFailed):
                await self._hand_over_if_unexplained(table, transaction)
            return False
        self._unsettled.discard(table.service)
        self._leadership.record_commit(sent_s)
        written = replace(table, version=result.unwrap())
        self._tables.put(written)
        self._keepers.update(table.service, written)
        self._keepers.resume(table.service)
        self._on_pending_changed()
        log_message(
            message_type="ownership:written",
            service=table.service,
            reason=reason,
            ranges=len(table.ranges),
            token=table.highest_token,
            version=str(written.version),
            epoch=self._leadership.row.epoch,
        )
        return True

    async def _hand_over_if_unexplained(self, table: OwnershipTable, failed: Transaction) -> None:
        """Hand over if the rows that a failed condition names are as this process knew them.

        A leader whose reads and writes disagree cannot know who holds which keys.
        """
        newest = self._tables.table(table.service)
        if self._transaction(newest).expected == failed.expected:
            await self._leadership.hand_over("conflict")

    def _starts(self, table: OwnershipTable) -> dict[str, int]:
        """Return when the owners in a table started, as far as that is known."""
        if self._servers is None:
            return {}
        owners = {each.server_id for each in table.ranges}
        records = (self._servers.get(each) for each in sorted(owners))
        return {each.server_id: each.started_ms for each in records if each and each.started_ms}

    def _transaction(self, table: OwnershipTable) -> Transaction:
        key = OWNERS_PREFIX + table.service
        return Transaction(
            self._group.eras.current,
            self._group.part.name,
            (
                self._leadership.condition(),
                ExpectedVersion(CONTROL_TABLE, key, table.version),
            ),
            (RowPut(CONTROL_TABLE, key, table.encode()),),
        )
