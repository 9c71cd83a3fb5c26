"""Locks of suspect requests in rows of the store."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, replace

from result import Ok

from indigoworks.broker.lock_table import CLEARED_S, PAUSE_AFTER_CRASH_S
from indigoworks.broker.stored_lock import StoredLock, decode_lock, encode_lock
from indigoworks.common.clock import Clock
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.rowstore.errors import ConditionFailed, StoreUnreachable
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.transaction import ABSENT, ExpectedVersion, RowPut

ROW_PREFIX = "try-lock/"
"""Keys of these rows, before the number of the row."""

ROWS = 64
"""Rows that there may be. Requests whose marks fall on the same one wait for each other."""

POLL_INTERVAL_S = 0.02
"""Pause between two looks at a row that another gateway holds."""

RELEASE_RETRY_S = 0.1
"""Pause after a release that the store did not take."""

FEED_WAIT_S = 0.5
"""After a write that another gateway's outran, that one's is waited for so long."""

STORE_LOST_S = 1.0
"""A store that has not answered for so long is not asked for locks."""

REUSE_S = 0.06
"""The lock of a try that went nowhere is kept so long: its request looks for the next server."""

LEASE_TOLERANCE_MS = 200
"""A kept lock is written again where its lease is shorter than needed by more than this."""

EXPIRED_MS = 1
"""Reading of the store's clock that has passed long since."""

MAX_RELEASE_WRITES = 5
"""So often a release is written; where none arrives the lock ends with its lease."""

IN_USE_S = 3.0
"""A row that ended so recently tells that another part of the group goes by it."""

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class _KnownRow:
    lock: StoredLock | None
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class _Conflict:
    """A write that failed on its condition: the version it expected, and when."""

    version: StoreVersion
    at_s: float


class StoredLocks:
    """One lock for each suspect request, by conditional writes of whoever wants to send a try.

    Members that do not hear each other are told apart from those that have ended by the store
    alone: all who are in touch reach it. A lock costs a write, its release another.

    :param boot: of this process.
    """

    def __init__(
        self, boot: str, store: RowStore, group: ControlGroup, health: StoreHealth, clock: Clock
    ) -> None:
        self._boot = boot
        self._store = store
        self._group = group
        self._health = health
        self._clock = clock
        self._number = 0
        self._rows: dict[str, _KnownRow] = {}
        self._reusable: dict[int, StoredLock] = {}
        self._conflicts: dict[str, _Conflict] = {}
        self._unreached_since_s: float | None = None
        self._releases: set[asyncio.Task[None]] = set()
        group.eras.on_new(self._rows.clear)

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Take rows of the group; those of other kinds are passed over."""
        for row in rows:
            is_current = row.version.era == self._group.eras.current
            if row.key.startswith(ROW_PREFIX) and is_current:
                self._record_row(
                    row.key, None if row.is_removed else decode_lock(row.value), row.version
                )

    def is_in_use(self, mark: int) -> bool:
        """Tell whether another gateway goes by the row of a request."""
        lock = self._stored(mark)
        if lock is None or lock.boot == self._boot:
            return False
        return not self._health.is_past(lock.until_ms + round(IN_USE_S * MS_PER_S))

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> StoredLock | Refusal | None:
        """Return the lock of a request, why it is not to be had by `limit_s`, or None: the store
        is not reached."""
        self._number += 1
        number = self._number
        while not self._is_store_lost():
            kept = self._pop_reusable(mark)
            if kept is not None and self._is_long_enough(kept, lease_s):
                return kept
            lock = self._in_force(mark) if kept is None else None
            if lock is None and not self._awaits_conflicting_row(mark):
                lock = await self._try_to_write(mark, number, lease_s)
            if lock is not None and (lock.is_open or self._is_own(lock, number)):
                return lock
            if self._clock.now() + POLL_INTERVAL_S >= limit_s:
                return Refusal(
                    RefusalReason.SUSPECT,
                    PAUSE_AFTER_CRASH_S / 2,
                    expected_s=PAUSE_AFTER_CRASH_S / 2,
                )
            await self._clock.sleep(POLL_INTERVAL_S)
        return None

    def release(self, lock: StoredLock, is_served: bool, has_ended_server: bool) -> None:
        """Write what came of a try; where that fails, the lock ends with its lease."""
        if lock.is_open:
            return
        until_ms = EXPIRED_MS
        if has_ended_server or is_served:
            until_ms = self._store_ms_in(CLEARED_S if is_served else PAUSE_AFTER_CRASH_S)
        ended = replace(lock, until_ms=until_ms, is_open=is_served)
        is_kept = until_ms == EXPIRED_MS
        if is_kept:
            self._reusable[lock.mark] = lock
        task = asyncio.ensure_future(self._write_release(ended, REUSE_S if is_kept else 0.0))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def close(self) -> None:
        """End what is under way."""
        for task in self._releases:
            task.cancel()

    # ---- parts ----

    def _stored(self, mark: int) -> StoredLock | None:
        known = self._rows.get(_key(mark))
        return None if known is None else known.lock

    def _in_force(self, mark: int) -> StoredLock | None:
        """Return the lock that the row of a request holds; None: it is free.

        A row that another request has is not open to this one.
        """
        lock = self._stored(mark)
        if lock is None or self._health.is_past(lock.until_ms):
            return None
        return lock if lock.mark == mark else replace(lock, is_open=False)

    def _pop_reusable(self, mark: int) -> StoredLock | None:
        """Return the lock that the last try of a request left here; None: there is none."""
        kept = self._reusable.pop(mark, None)
        return kept if kept is not None and self._stored(mark) == kept else None

    def _is_long_enough(self, lock: StoredLock, lease_s: float) -> bool:
        return lock.until_ms >= self._store_ms_in(lease_s) - LEASE_TOLERANCE_MS

    def _awaits_conflicting_row(self, mark: int) -> bool:
        """Tell whether another gateway has written the row, and its write has not come yet."""
        outrun = self._conflicts.get(_key(mark))
        if outrun is None or self._clock.now() > outrun.at_s + FEED_WAIT_S:
            return False
        known = self._rows.get(_key(mark))
        return outrun.version == (ABSENT if known is None else known.version)

    def _is_own(self, lock: StoredLock, number: int) -> bool:
        return (lock.boot, lock.number) == (self._boot, number)

    def _is_store_lost(self) -> bool:
        """Tell whether this process is out of touch: no rule binds it then, and its callers are not
        to wait for the store."""
        since_s = self._unreached_since_s
        unreached_s = 0.0 if since_s is None else self._clock.now() - since_s
        return max(unreached_s, self._health.lost_for_s()) > STORE_LOST_S

    async def _try_to_write(self, mark: int, number: int, lease_s: float) -> StoredLock | None:
        """Write a lock where the row is free; None: that did not come about, as far as is known."""
        lock = StoredLock(self._boot, number, mark, self._store_ms_in(lease_s))
        return lock if await self._write(lock) else None

    async def _write_release(self, lock: StoredLock, after_s: float) -> None:
        """Write the end of a lock, unless it is kept and taken again before `after_s` is over."""
        if after_s:
            await self._clock.sleep(after_s)
            if self._reusable.pop(lock.mark, None) is None:
                return
        for _ in range(MAX_RELEASE_WRITES):
            stored = self._stored(lock.mark)
            if stored is not None and not self._is_own(stored, lock.number):
                return
            if not self._awaits_conflicting_row(lock.mark) and await self._write(lock):
                return
            await self._clock.sleep(RELEASE_RETRY_S)

    async def _write(self, lock: StoredLock) -> bool:
        """Write a row under the condition that it is as it is known here."""
        key = _key(lock.mark)
        known = self._rows.get(key)
        expected = ExpectedVersion(CONTROL_TABLE, key, ABSENT if known is None else known.version)
        put = RowPut(CONTROL_TABLE, key, encode_lock(lock))
        result = await self._store.commit(self._group.transaction((expected,), (put,)))
        if isinstance(result, Ok):
            self._unreached_since_s = None
            self._record_row(key, lock, result.unwrap())
            return True
        error = result.unwrap_err()
        if isinstance(error, ConditionFailed):
            self._conflicts[key] = _Conflict(expected.version, self._clock.now())
        if not isinstance(error, StoreUnreachable):
            self._unreached_since_s = None
        elif self._unreached_since_s is None:
            self._unreached_since_s = self._clock.now()
        return False

    def _record_row(self, key: str, lock: StoredLock | None, version: StoreVersion) -> None:
        known = self._rows.get(key)
        if known is None or version > known.version:
            self._rows[key] = _KnownRow(lock, version)

    def _store_ms_in(self, duration_s: float) -> int:
        return self._health.to_store_ms(self._clock.now() + duration_s)


def _key(mark: int) -> str:
    return f"{ROW_PREFIX}{mark % ROWS}"
