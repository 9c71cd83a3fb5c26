"""Locks of suspect requests, as granted by a broker.

A suspect request is one during which a server crashed or may have crashed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from indigoworks.broker.requester import Requester
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.clock import Clock
from indigoworks.gateway.refusal import Refusal, RefusalReason

PAUSE_AFTER_CRASH_S = 1.1
"""Wait after an attempt that crashed a server. Crashes within one second count once, as servers
also crash together for other reasons. Without the wait a harmful request would crash several
servers within that second, which count once, and many before it is refused."""

CLEARED_S = 2.0
"""Time after a served attempt for which no lock is needed: within 0.5 s the gateways know that the
request does no harm."""

MAX_LOCKS = 1000
"""Maximum number of locks; further requests are granted without one."""

LockName = tuple[str, int]
"""Boot id of the requester, and its number of the request."""


@dataclass(eq=False, slots=True)
class _Waiter:
    requester: Requester
    request: SlotRequest
    until_s: float


@dataclass(eq=False, slots=True)
class _Lock:
    """Lock of a suspect request; times are clock readings.

    :ivar free_s: earliest time of the next grant.
    :ivar cleared_until_s: until then every attempt is granted.
    :ivar holder: current holder, or None.
    :ivar held_until_s: end of the holder's lease.
    """

    free_s: float
    cleared_until_s: float = float("-inf")
    holder: LockName | None = None
    held_until_s: float = 0.0
    waiters: dict[LockName, _Waiter] = field(default_factory=dict)


class LockTable:
    """Grants one attempt at a time of each suspect request, over all gateways.

    A request is refused after CRASH_LIMIT crashes (quarantine), and concurrent attempts at a server
    that crashes count as one. Without the lock they would crash further servers before that.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._locks: dict[int, _Lock] = {}
        self._marks: dict[LockName, int] = {}

    def handle_request(self, requester: Requester, request: SlotRequest) -> None:
        """Reply to a request for a lock; if it must wait, again once the lock is granted."""
        now_s = self._clock.now()
        name = (requester.boot, request.number)
        mark = request.suspect_mark
        if mark not in self._locks and len(self._locks) >= MAX_LOCKS:
            _grant(requester, request)
            return
        lock = self._locks.setdefault(mark, _Lock(now_s))
        if lock.holder == name or now_s < lock.cleared_until_s:
            _grant(requester, request)
            return
        self._marks[name] = mark
        lock.waiters[name] = _Waiter(requester, request, now_s + request.limit_s)
        self._grant_waiting(lock)
        if name in lock.waiters:
            requester.send_reply(SlotReply(request.number, SlotOutcome.QUEUED))

    def handle_release(self, boot: str, release: SlotRelease) -> None:
        """Release a lock, or withdraw a request that waits for one."""
        name = (boot, release.number)
        mark = self._marks.pop(name, None)
        if mark is None:
            return
        lock = self._locks[mark]
        if lock.waiters.pop(name, None) is None and lock.holder == name:
            self._release(lock, release.is_served, release.has_crashed_server)

    def lift(self, mark: int) -> None:
        """Grant all attempts of a request that turned out not to have crashed a server."""
        lock = self._locks.get(mark)
        if lock is not None:
            lock.cleared_until_s = self._clock.now() + CLEARED_S
            self._grant_waiting(lock)

    def is_empty(self) -> bool:
        """Return whether no lock is known."""
        return not self._locks

    def remove_expired(self) -> None:
        """End expired leases and waits, and remove unused locks."""
        now_s = self._clock.now()
        for mark, lock in list(self._locks.items()):
            if lock.holder is not None and now_s > lock.held_until_s:
                self._marks.pop(lock.holder, None)
                self._release(lock, is_served=False, has_crashed_server=False)
            self._grant_waiting(lock)
            is_needed = lock.holder is not None or lock.waiters
            if not is_needed and now_s > max(lock.free_s, lock.cleared_until_s):
                del self._locks[mark]

    def _release(self, lock: _Lock, is_served: bool, has_crashed_server: bool) -> None:
        now_s = self._clock.now()
        lock.holder = None
        lock.free_s = now_s + PAUSE_AFTER_CRASH_S if has_crashed_server else now_s
        if is_served:
            lock.cleared_until_s = now_s + CLEARED_S
        self._grant_waiting(lock)

    def _grant_waiting(self, lock: _Lock) -> None:
        now_s = self._clock.now()
        while lock.waiters and now_s < lock.cleared_until_s:
            self._grant_cleared(lock)
        if lock.holder is None and lock.waiters and now_s >= lock.free_s:
            name, waiter = next(iter(lock.waiters.items()))
            lock.holder, lock.held_until_s = name, now_s + waiter.request.lease_s
            del lock.waiters[name]
            _grant(waiter.requester, waiter.request)
        self._refuse_late(lock, lambda each: max(now_s, lock.free_s) > each.until_s)

    def _grant_cleared(self, lock: _Lock) -> None:
        name, waiter = next(iter(lock.waiters.items()))
        del lock.waiters[name]
        del self._marks[name]
        _grant(waiter.requester, waiter.request)

    def _refuse_late(self, lock: _Lock, is_late: Callable[[_Waiter], bool]) -> None:
        """Refuse the requests that cannot get the lock before their time limit."""
        for name, waiter in [each for each in lock.waiters.items() if is_late(each[1])]:
            del lock.waiters[name]
            del self._marks[name]
            left_s = max(PAUSE_AFTER_CRASH_S / 2, lock.free_s - self._clock.now())
            refusal = Refusal(RefusalReason.SUSPECT, left_s, expected_s=left_s)
            reply = SlotReply(waiter.request.number, SlotOutcome.REFUSED, refusal=refusal)
            waiter.requester.send_reply(reply)


def _grant(requester: Requester, request: SlotRequest) -> None:
    requester.send_reply(SlotReply(request.number, SlotOutcome.GRANTED))
