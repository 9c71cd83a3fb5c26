"""This process's copy of the ownership tables of all services."""

from collections.abc import Sequence

from eliot import log_message

from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.rowstore.row import Row

OWNERS_PREFIX = "owners/"
"""Prefix of the keys of ownership table rows; the name of the service follows."""


class OwnershipTables:
    """Newest table of each service, and the ranges that the leader reports as pending."""

    def __init__(self) -> None:
        self._tables: dict[str, OwnershipTable] = {}
        self._pending: dict[str, tuple[PendingRange, ...]] = {}

    def apply(self, rows: Sequence[Row]) -> bool:
        """Apply ownership rows and ignore others; returns whether any table changed."""
        is_changed = False
        for row in rows:
            if row.key.startswith(OWNERS_PREFIX) and not row.is_removed:
                is_changed |= self._apply_row(row)
        return is_changed

    def table(self, service: str) -> OwnershipTable:
        """Return the table of a service; an empty one if none is known."""
        return self._tables.get(service) or OwnershipTable.empty(service)

    def has_tables_of(self, era: int) -> bool:
        """Return whether any table of an era of the store is known."""
        return any(each.ranges and each.version.era == era for each in self._tables.values())

    def find(self, service: str, key: int) -> OwnedRange | None:
        """Return the range that holds a key; None: no table is known."""
        table = self._tables.get(service)
        return None if table is None else table.find(key)

    def apply_beat(self, beat: LeaderBeat) -> None:
        """Replace the pending ranges by those of the leader's newest beat."""
        pending: dict[str, list[PendingRange]] = {}
        for each in beat.pending:
            pending.setdefault(each.service, []).append(each)
        self._pending = {service: tuple(ranges) for service, ranges in pending.items()}

    def is_pending(self, service: str, owned: OwnedRange) -> bool:
        """Return whether the leader reports that the range is not granted yet."""
        return any(
            each.token == owned.token and each.first <= owned.last and owned.first <= each.last
            for each in self._pending.get(service, ())
        )

    def put(self, table: OwnershipTable) -> None:
        """Add a table that this process itself has written."""
        known = self._tables.get(table.service)
        if known is None or known.version < table.version:
            self._tables[table.service] = table

    def _apply_row(self, row: Row) -> bool:
        service = row.key.removeprefix(OWNERS_PREFIX)
        known = self._tables.get(service)
        if known is not None and known.version >= row.version:
            return False
        try:
            self._tables[service] = OwnershipTable.decode(service, row.value, row.version)
        except (ValueError, KeyError, TypeError) as error:
            log_message(
                message_type="ownership:row_unreadable",
                level="ERROR",
                service=service,
                version=str(row.version),
                reason=str(error),
            )
            return False
        return True
