"""The newest changes of one table, as this process followed them."""

import asyncio
from collections.abc import Sequence
from itertools import takewhile

from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

MAX_ROWS = 400
MAX_BYTES = 2 * 1024 * 1024
"""Older changes are dropped; who asks for them reads the store itself. The largest row known is a
configuration of 2,533 routes, 0.44 MB; the newest value alone is kept of each row."""


class FeedHistory:
    """The newest change of each row, in the order of versions, from `floor` to `version`.

    All of them are of one era: a history begins anew when the store has come back from a copy.

    Earlier changes of a row are of no use to who asks later, and may be large. After a whole
    reading whose rows were kept, all rows of the table are known: who is further back gets these.

    :ivar floor: changes up to this version are not known here.
    :ivar version: version up to which the table has been followed; NO_VERSION: not at all yet.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._bytes = 0
        self.floor = NO_VERSION
        self.version = NO_VERSION
        self._is_complete = False
        self._changed: asyncio.Future[None] | None = None

    def restart(self, version: StoreVersion, all_rows: Sequence[Row] | None = None) -> None:
        """Begin anew after a whole reading of the table as of `version`.

        A reading that the feed has overtaken meanwhile changes nothing: what lies between would be
        missing without anyone knowing.

        :param all_rows: what was read, where it is to be kept; None: it is not.
        """
        if version <= self.version:
            return
        self._rows.clear()
        self._bytes = 0
        self.floor = version
        self.version = version
        self._is_complete = all_rows is not None
        for row in sorted(all_rows or (), key=lambda each: each.version):
            self._put(row)
        self._drop_oldest()
        self.wake()

    def add(self, rows: Sequence[Row], version: StoreVersion) -> None:
        """Add what a step of the feed brought; what is known already is passed over."""
        known = self.version
        for row in rows:
            if row.version > known:
                self._put(row)
        self._drop_oldest()
        if version > known:
            self.version = version
            if rows:
                self.wake()

    def knows_since(self, version: StoreVersion) -> bool:
        """Tell whether all changes after `version` are known here."""
        return self.version > NO_VERSION and version >= self.floor

    def knows_all(self) -> bool:
        """Tell whether every row of the table is known here, whenever it changed."""
        return self._is_complete

    def all_rows(self) -> tuple[Row, ...]:
        """Return every row that the table holds as of `version`, as far as `knows_all`."""
        return tuple(row for row in self._rows.values() if not row.is_removed)

    def rows_after(self, version: StoreVersion) -> tuple[Row, ...]:
        """Return the changes after `version`, oldest first."""
        newer = takewhile(lambda row: row.version > version, reversed(self._rows.values()))
        return tuple(newer)[::-1]

    def has_after(self, version: StoreVersion) -> bool:
        """Tell whether a row changed after `version`."""
        newest = next(reversed(self._rows.values()), None)
        return newest is not None and newest.version > version

    async def wait(self, timeout_s: float) -> None:
        """Wait until something was added or `wake` was called, at most `timeout_s` seconds."""
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._changed}, timeout=timeout_s)

    def wake(self) -> None:
        """Let everyone who waits look again."""
        if self._changed is not None:
            self._changed.set_result(None)
            self._changed = None

    def _put(self, row: Row) -> None:
        replaced = self._rows.pop((row.part, row.key), None)
        if replaced is not None:
            self._bytes -= len(replaced.value)
        self._rows[row.part, row.key] = row
        self._bytes += len(row.value)

    def _drop_oldest(self) -> None:
        while self._rows and (len(self._rows) > MAX_ROWS or self._bytes > MAX_BYTES):
            dropped = self._rows.pop(next(iter(self._rows)))
            self._bytes -= len(dropped.value)
            self.floor = max(self.floor, dropped.version)
            self._is_complete &= dropped.is_removed
