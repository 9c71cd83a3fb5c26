"""Rows of the stand-in's table service."""

from collections.abc import Sequence

from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow


class TableService:
    """Rows in memory, changed by transactions of conditional writes."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}

    def read(self, key: str) -> TableRow | None:
        """Return the row, or None where there is none."""
        return self._rows.get(key)

    def transact(self, writes: Sequence[RowWrite]) -> bool:
        """Apply all writes if every row has the expected version (0: absent), else none.

        :returns: whether the writes were applied.
        """
        if any(self._version(write.key) != write.expected_version for write in writes):
            return False
        for write in writes:
            self._rows[write.key] = TableRow(write.key, write.value, write.expected_version + 1)
        return True

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return 0 if row is None else row.version
