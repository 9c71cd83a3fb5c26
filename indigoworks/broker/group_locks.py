"""Locks of suspect requests, also in a group whose members do not all hear each other."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.broker.stored_lock import StoredLock
from indigoworks.broker.stored_locks import StoredLocks
from indigoworks.exchange.cut_watch import CutWatch
from indigoworks.gateway.attempt_locks import AttemptLock, AttemptLocks
from indigoworks.gateway.refusal import Refusal


@dataclass(frozen=True, slots=True)
class _CombinedLock:
    """Implements `AttemptLock`: the lock of the part that this process hears, and of all parts."""

    brokered: AttemptLock
    stored: StoredLock
    locks: StoredLocks

    def release(self, is_served: bool, has_ended_server: Callable[[], bool]) -> None:
        """Give both rights back."""
        self.locks.release(self.stored, is_served, has_ended_server())
        self.brokered.release(is_served, has_ended_server)


class GroupLocks:
    """Implements `AttemptLocks`: brokers give locks out, and the store where a member is not heard.

    In a cut each part has a broker of its own, and each of them lets a try go. Who has the lock of
    its part asks the store for that of all parts; one write a try, whatever the number of gateways.
    A part that hears everybody goes by the row once another one has written it.
    """

    def __init__(self, brokered: AttemptLocks, stored: StoredLocks, cuts: CutWatch) -> None:
        self._brokered = brokered
        self._stored = stored
        self._cuts = cuts

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> AttemptLock | Refusal | None:
        """Return the lock of a request, why it is not to be had, or None: nobody gives it out."""
        of_part = await self._brokered.acquire(mark, limit_s, lease_s)
        if of_part is None or isinstance(of_part, Refusal):
            return of_part
        if not self._cuts.is_cut() and not self._stored.is_in_use(mark):
            return of_part
        stored = await self._acquire_stored(of_part, mark, limit_s, lease_s)
        if stored is None:
            return of_part
        if isinstance(stored, Refusal):
            of_part.release(False, _nothing_ended)
            return stored
        return _CombinedLock(of_part, stored, self._stored)

    async def _acquire_stored(
        self, of_part: AttemptLock, mark: int, limit_s: float, lease_s: float
    ) -> StoredLock | Refusal | None:
        try:
            return await self._stored.acquire(mark, limit_s, lease_s)
        except asyncio.CancelledError:
            of_part.release(False, _nothing_ended)
            raise


def _nothing_ended() -> bool:
    return False
