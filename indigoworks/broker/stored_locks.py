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
"""Prefix of the keys of these rows; the row number follows."""

ROWS = 64
"""Number of rows. Requests whose marks map to the same row wait for each other."""

POLL_INTERVAL_S = 0.02
"""Interval of checks of a row that another gateway holds."""

RELEASE_RETRY_S = 0.1
"""Pause after a failed write of a release."""

FEED_WAIT_S = 0.5
"""After a conflicting write, longest wait until `apply_rows` gets the row that won."""

STORE_LOST_S = 1.0
"""A store that has not answered for longer is not used for locks."""

REUSE_S = 0.06
"""Delay before the release of a lock whose attempt was neither served nor crashed a server: the
request can reuse it for the attempt at the next server."""

LEASE_TOLERANCE_MS = 200
"""A lock is only reused if its lease is at most this much shorter than needed."""

EXPIRED_MS = 1
"""Value of `until_ms` for a free lock: a reading long past on the store's clock."""

MAX_RELEASE_WRITES = 5
"""Attempts to write a release; if all fail, the lock ends with its lease."""

IN_USE_S = 3.0
"""A row with an expiry less than this ago counts as used by another side of a partition."""

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class _KnownRow:
    lock: StoredLock | None
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class _Conflict:
    """A write whose condition failed: the version that it expected, and when it failed."""

    version: StoreVersion
    at_s: float


class StoredLocks:
    """Locks of suspect requests, acquired by conditional writes; one lock for each of ROWS rows.

    A member that is not heard has ended or is on another side of a partition. The store serves for
    both cases; a member that has lost the store is not bound by the locks. A lock costs one write,
    and its release another.

    :param boot: boot id of this process.
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
        """Update the known locks from changed rows of the group; other rows are ignored."""
        for row in rows:
            is_current = row.version.era == self._group.eras.current
            if row.key.startswith(ROW_PREFIX) and is_current:
                self._record_row(
                    row.key, None if row.is_removed else decode_lock(row.value), row.version
                )

    def is_in_use(self, mark: int) -> bool:
        """Tell whether another gateway holds the row of a request, or did until IN_USE_S ago."""
        lock = self._stored(mark)
        if lock is None or lock.boot == self._boot:
            return False
        return not self._health.is_past(lock.until_ms + round(IN_USE_S * MS_PER_S))

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> StoredLock | Refusal | None:
        """Return the lock of a request, a refusal at `limit_s`, or None if the store is lost."""
        self._number += 1
        number = self._number
        while not self._is_store_lost():
            reusable = self._pop_reusable(mark)
            if reusable is not None and self._is_long_enough(reusable, lease_s):
                return reusable
            lock = self._in_force(mark) if reusable is None else None
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

    def release(self, lock: StoredLock, is_served: bool, has_crashed_server: bool) -> None:
        """Release a lock after an attempt; if the write fails, the lock ends with its lease."""
        if lock.is_open:
            return
        until_ms = EXPIRED_MS
        if has_crashed_server or is_served:
            until_ms = self._store_ms_in(CLEARED_S if is_served else PAUSE_AFTER_CRASH_S)
        ended = replace(lock, until_ms=until_ms, is_open=is_served)
        is_reusable = until_ms == EXPIRED_MS
        if is_reusable:
            self._reusable[lock.mark] = lock
        task = asyncio.ensure_future(self._write_release(ended, REUSE_S if is_reusable else 0.0))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def close(self) -> None:
        """Cancel pending releases."""
        for task in self._releases:
            task.cancel()

    # ---- helpers ----

    def _stored(self, mark: int) -> StoredLock | None:
        known = self._rows.get(_key(mark))
        return None if known is None else known.lock

    def _in_force(self, mark: int) -> StoredLock | None:
        """Return the unexpired lock in the row of a request, or None.

        If another request shares the row, its lock does not allow attempts of this one.
        """
        lock = self._stored(mark)
        if lock is None or self._health.is_past(lock.until_ms):
            return None
        return lock if lock.mark == mark else replace(lock, is_open=False)

    def _pop_reusable(self, mark: int) -> StoredLock | None:
        """Remove and return the reusable lock of the request's last attempt, or None."""
        reusable = self._reusable.pop(mark, None)
        return reusable if reusable is not None and self._stored(mark) == reusable else None

    def _is_long_enough(self, lock: StoredLock, lease_s: float) -> bool:
        return lock.until_ms >= self._store_ms_in(lease_s) - LEASE_TOLERANCE_MS

    def _awaits_conflicting_row(self, mark: int) -> bool:
        """Tell whether another gateway has written the row, and that write has not arrived yet."""
        conflict = self._conflicts.get(_key(mark))
        if conflict is None or self._clock.now() > conflict.at_s + FEED_WAIT_S:
            return False
        known = self._rows.get(_key(mark))
        return conflict.version == (ABSENT if known is None else known.version)

    def _is_own(self, lock: StoredLock, number: int) -> bool:
        return (lock.boot, lock.number) == (self._boot, number)

    def _is_store_lost(self) -> bool:
        """Tell whether this process has lost the store: then attempts go on without its locks."""
        since_s = self._unreached_since_s
        unreached_s = 0.0 if since_s is None else self._clock.now() - since_s
        return max(unreached_s, self._health.lost_for_s()) > STORE_LOST_S

    async def _try_to_write(self, mark: int, number: int, lease_s: float) -> StoredLock | None:
        """Write a lock to a free row; None if the write failed or its result is unknown."""
        lock = StoredLock(self._boot, number, mark, self._store_ms_in(lease_s))
        return lock if await self._write(lock) else None

    async def _write_release(self, lock: StoredLock, after_s: float) -> None:
        """Write the end of a lock after `after_s`, unless it is reused before."""
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
        """Write a row on condition that it has its last known version."""
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
