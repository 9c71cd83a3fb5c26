"""Locks of suspect requests that also hold across a network partition."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.broker.stored_lock import StoredLock
from indigoworks.broker.stored_locks import StoredLocks
from indigoworks.exchange.partition_monitor import PartitionMonitor
from indigoworks.gateway.attempt_locks import AttemptLock, AttemptLocks
from indigoworks.gateway.refusal import Refusal


@dataclass(frozen=True, slots=True)
class _CombinedLock:
    """Implements `AttemptLock`: the broker's lock on this side of a partition and the store's."""

    brokered: AttemptLock
    stored: StoredLock
    locks: StoredLocks

    def release(self, is_served: bool, has_crashed_server: Callable[[], bool]) -> None:
        """Release both locks."""
        self.locks.release(self.stored, is_served, has_crashed_server())
        self.brokered.release(is_served, has_crashed_server)


class GroupLocks:
    """Implements `AttemptLocks`: by brokers, and also by the store if a member is out of reach.

    In a network partition each side has a broker of its own, and each of these grants a lock. The
    holder then also acquires a lock in the store, which all sides share: one write to acquire and
    one to release it, whatever the number of gateways. A side that reaches all members also uses
    the store's lock once another side has written it.
    """

    def __init__(
        self, brokered: AttemptLocks, stored: StoredLocks, partition_monitor: PartitionMonitor
    ) -> None:
        self._brokered = brokered
        self._stored = stored
        self._partition_monitor = partition_monitor

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> AttemptLock | Refusal | None:
        """Return the lock of a request, why it is refused, or None if no broker grants it."""
        brokered = await self._brokered.acquire(mark, limit_s, lease_s)
        if brokered is None or isinstance(brokered, Refusal):
            return brokered
        if not self._partition_monitor.is_partitioned() and not self._stored.is_in_use(mark):
            return brokered
        stored = await self._acquire_stored(brokered, mark, limit_s, lease_s)
        if stored is None:
            return brokered
        if isinstance(stored, Refusal):
            brokered.release(False, _no_crash)
            return stored
        return _CombinedLock(brokered, stored, self._stored)

    async def _acquire_stored(
        self, brokered: AttemptLock, mark: int, limit_s: float, lease_s: float
    ) -> StoredLock | Refusal | None:
        try:
            return await self._stored.acquire(mark, limit_s, lease_s)
        except asyncio.CancelledError:
            brokered.release(False, _no_crash)
            raise


def _no_crash() -> bool:
    return False
