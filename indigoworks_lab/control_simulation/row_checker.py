"""Acknowledged rows are never lost, unless the store itself comes back from a copy."""

from collections.abc import Iterable

from indigoworks.exchange.peer_directory import PEER_PREFIX
from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion
from indigoworks.rowstore.transaction import Transaction
from indigoworks_lab.control_simulation.memory_rows import MemoryRows
from indigoworks_lab.control_simulation.violation_list import ViolationList

CHECKER = "rows"


class RowChecker:
    """Looks at each transaction as it reaches the store and at each acknowledgement.

    A row of owners or of the leader is replaced only by who knew it: under its version. Tables of
    owners are changed only by the leader, cover all keys, and their highest token grows.

    :ivar tables_written: tables of owners that were written so far.
    :ivar leaders: leaders that were named so far, resignations left out.
    """

    def __init__(self, rows: MemoryRows, violations: ViolationList) -> None:
        self._rows = rows
        self._violations = violations
        self._acknowledged: dict[tuple[str, str], StoreVersion] = {}
        self._copies: list[StoreVersion] = []
        self.tables_written = 0
        self.leaders = 0

    def committing(self, boot: str, transaction: Transaction) -> None:
        """A transaction is about to be tried."""
        expected = {each.key: each.version for each in transaction.expected}
        versions = {
            key: NO_VERSION if row is None else row.version
            for key in {*expected, *(put.key for put in transaction.puts)}
            for row in [self._rows.row(CONTROL_TABLE, transaction.part, key)]
        }
        if any(versions[key].counter != each.counter for key, each in expected.items()):
            return
        for put in transaction.puts:
            is_owners = put.key.startswith(OWNERS_PREFIX)
            if (is_owners or put.key == LEADER_KEY) and put.key not in expected:
                self._add(f"{boot} writes {put.key} without knowing version {versions[put.key]}")
            if put.key == LEADER_KEY and LeaderRow.decode(put.value, NO_VERSION).node:
                self.leaders += 1
            if is_owners:
                self.tables_written += 1
                self._check_table(boot, transaction.part, put.key, put.value)

    def acknowledged(self, transaction: Transaction, version: StoreVersion) -> None:
        """A process learnt that its transaction was made; the store may have lost it since."""
        if any(version > copied for copied in self._copies[version.era :]):
            return
        for put in transaction.puts:
            known = self._acknowledged.get((transaction.part, put.key), NO_VERSION)
            self._acknowledged[(transaction.part, put.key)] = max(known, version)

    def returned(self, copied: StoreVersion) -> None:
        """The store came back from a copy of that version: it lost what it acknowledged later."""
        self._copies.append(copied)
        self._acknowledged = {
            key: version for key, version in self._acknowledged.items() if version <= copied
        }

    def check_end(self) -> None:
        """Compare what was acknowledged with what the store holds."""
        for (part, key), version in self._acknowledged.items():
            row = self._rows.row(CONTROL_TABLE, part, key)
            if row is None or row.version.counter < version.counter:
                self._add(f"{key} was acknowledged in version {version} and is gone")

    def check_addresses(self, nodes: Iterable[str]) -> None:
        """Check that the store holds the address of each living node, where its era has them."""
        for node in nodes:
            if self._rows.row(CONTROL_TABLE, part_of(self._rows.era), PEER_PREFIX + node) is None:
                self._add(f"{node} has no address in era {self._rows.era}")

    def _check_table(self, boot: str, part: str, key: str, value: bytes) -> None:
        leader = self._rows.row(CONTROL_TABLE, part, LEADER_KEY)
        if leader is None or LeaderRow.decode(leader.value, leader.version).boot != boot:
            self._add(f"{boot} writes {key} and does not lead")
        table = OwnershipTable.decode("", value, NO_VERSION)
        if sum(each.width for each in table.ranges) != KEY_COUNT:
            self._add(f"{boot} writes {key}, which does not cover the keys")
        before = self._rows.row(CONTROL_TABLE, part, key)
        if before is None:
            return
        highest = OwnershipTable.decode("", before.value, NO_VERSION).highest_token
        if table.highest_token < highest:
            self._add(f"{boot} lowers the highest token of {key} from {highest}")

    def _add(self, text: str) -> None:
        self._violations.add(CHECKER, text)
