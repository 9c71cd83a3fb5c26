"""Recent changes of one table, kept to serve them to other gateways."""

import asyncio
from collections.abc import Sequence
from itertools import takewhile

from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

MAX_ROWS = 400
MAX_BYTES = 2 * 1024 * 1024
"""Bounds of a history; older changes are dropped, and gateways that need them read the store. The
largest known row is a configuration of 2,533 routes, 0.44 MB; only the newest value of each row is
kept."""


class FeedHistory:
    """The newest change of each row, ordered by version, from `floor` to `version`.

    All of them are of one era: a history restarts when the store was restored from a copy.

    Earlier changes of a row are of no use to later requests, and may be large. After a full read
    whose rows were kept, the history has all rows of the table, and a gateway that is too far
    behind gets them all.

    :ivar floor: changes up to this version are missing here.
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
        """Start over after a full read of the table as of `version`.

        A read that the feed has overtaken is ignored: the changes in between would be lost without
        notice.

        :param all_rows: the rows read, if the history is to keep them; None: it is not.
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
        """Add the rows of a feed response; rows that are known already are skipped."""
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
        """Return whether all changes after `version` are known here."""
        return self.version > NO_VERSION and version >= self.floor

    def knows_all(self) -> bool:
        """Return whether every row of the table is known here, whenever it changed."""
        return self._is_complete

    def all_rows(self) -> tuple[Row, ...]:
        """Return every row of the table as of `version`; complete only if `knows_all`."""
        return tuple(row for row in self._rows.values() if not row.is_removed)

    def rows_after(self, version: StoreVersion) -> tuple[Row, ...]:
        """Return the changes after `version`, oldest first."""
        newer = takewhile(lambda row: row.version > version, reversed(self._rows.values()))
        return tuple(newer)[::-1]

    def has_after(self, version: StoreVersion) -> bool:
        """Return whether a row changed after `version`."""
        newest = next(reversed(self._rows.values()), None)
        return newest is not None and newest.version > version

    async def wait(self, timeout_s: float) -> None:
        """Wait until something was added or `wake` was called, at most `timeout_s` seconds."""
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._changed}, timeout=timeout_s)

    def wake(self) -> None:
        """Wake all waiting requests, so that they check their condition again."""
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
