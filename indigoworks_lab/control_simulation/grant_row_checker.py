"""A server takes keys only as a row said before: its own, under that token."""

from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks_lab.control_simulation.interval_map import IntervalMap
from indigoworks_lab.control_simulation.memory_rows import MemoryRows
from indigoworks_lab.control_simulation.server_entry import SERVICE
from indigoworks_lab.control_simulation.violation_list import ViolationList

CHECKER = "grant row"

ServerToken = tuple[str, int]


class GrantRowChecker:
    """Remembers which keys each server had under each token in any version of the table."""

    def __init__(self, rows: MemoryRows, violations: ViolationList) -> None:
        self._rows = rows
        self._violations = violations
        self._version = NO_VERSION
        self._written: dict[ServerToken, IntervalMap[bool]] = {}

    def note_table(self) -> None:
        """Take note of the table as it is now; called after each transaction."""
        row = self._rows.row(CONTROL_TABLE, part_of(self._rows.era), OWNERS_PREFIX + SERVICE)
        if row is None or row.version == self._version:
            return
        self._version = row.version
        for owned in OwnershipTable.decode(SERVICE, row.value, row.version).ranges:
            keys = self._written.setdefault((owned.server_id, owned.token), IntervalMap(False))
            keys.set(owned.first, owned.last, True)

    def taking(self, server_id: str, grant: KeyGrant) -> None:
        """A server takes a grant, whenever it was sent."""
        keys = self._written.get((server_id, grant.token), IntervalMap(False))
        for piece in keys.pieces(grant.first, grant.last):
            if not piece.value:
                self._violations.add(
                    CHECKER,
                    f"{server_id} takes keys {piece.first}-{piece.last} under {grant.token},"
                    " which no row gave it",
                )
