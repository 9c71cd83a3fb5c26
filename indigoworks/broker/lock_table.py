"""Locks of suspect requests, as a broker gives them out."""

from collections.abc import Callable
from dataclasses import dataclass, field

from indigoworks.broker.requester import Requester
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.clock import Clock
from indigoworks.gateway.refusal import Refusal, RefusalReason

PAUSE_AFTER_CRASH_S = 1.1
"""After a try under which a server ended the next one waits for so long. Ends within a second count
once, for servers also end together for other reasons: with a try in hand at each of several servers
that end in one second a harmful request would end many before it is refused."""

CLEARED_S = 2.0
"""After a try that was served no lock is needed for so long: gateways learn within half a second
that the request does no harm."""

MAX_LOCKS = 1000
"""Suspect requests that are remembered; the lock of one more is free for everyone."""

LockName = tuple[str, int]
"""Boot of the requester, and its number of the request."""


@dataclass(eq=False, slots=True)
class _Waiter:
    requester: Requester
    request: SlotRequest
    until_s: float


@dataclass(eq=False, slots=True)
class _Lock:
    """Lock of one request.

    :ivar holder: who has it; None: it is free from `free_s` on.
    :ivar held_until_s: clock reading at which the lease of the holder ends.
    """

    free_s: float
    cleared_until_s: float = float("-inf")
    holder: LockName | None = None
    held_until_s: float = 0.0
    waiters: dict[LockName, _Waiter] = field(default_factory=dict)


class LockTable:
    """Lets one try at a time of each suspect request go on, whichever gateway has it.

    Several tries in hand at a server that ends make one end, so that without this each of the next
    owners would get as many again before the third end is known.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._locks: dict[int, _Lock] = {}
        self._marks: dict[LockName, int] = {}

    def handle_request(self, requester: Requester, request: SlotRequest) -> None:
        """Reply to a request for a lock, now and once more when it is free."""
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
        """Take a lock back, or a request that waits for one."""
        name = (boot, release.number)
        mark = self._marks.pop(name, None)
        if mark is None:
            return
        lock = self._locks[mark]
        if lock.waiters.pop(name, None) is None and lock.holder == name:
            self._release(lock, release.is_served, release.has_ended_server)

    def lift(self, mark: int) -> None:
        """Let all tries of a request go on that turned out to have ended no server."""
        lock = self._locks.get(mark)
        if lock is not None:
            lock.cleared_until_s = self._clock.now() + CLEARED_S
            self._grant_waiting(lock)

    def remove_expired(self) -> None:
        """End leases and waits that are over, and forget locks that nobody needs."""
        now_s = self._clock.now()
        for mark, lock in list(self._locks.items()):
            if lock.holder is not None and now_s > lock.held_until_s:
                self._marks.pop(lock.holder, None)
                self._release(lock, is_served=False, has_ended_server=False)
            self._grant_waiting(lock)
            is_needed = lock.holder is not None or lock.waiters
            if not is_needed and now_s > max(lock.free_s, lock.cleared_until_s):
                del self._locks[mark]

    def _release(self, lock: _Lock, is_served: bool, has_ended_server: bool) -> None:
        now_s = self._clock.now()
        lock.holder = None
        lock.free_s = now_s + PAUSE_AFTER_CRASH_S if has_ended_server else now_s
        if is_served:
            lock.cleared_until_s = now_s + CLEARED_S
        self._grant_waiting(lock)

    def _grant_waiting(self, lock: _Lock) -> None:
        now_s = self._clock.now()
        while lock.waiters and now_s < lock.cleared_until_s:
            self._grant_next(lock)
        if lock.holder is None and lock.waiters and now_s >= lock.free_s:
            name, waiter = next(iter(lock.waiters.items()))
            lock.holder, lock.held_until_s = name, now_s + waiter.request.lease_s
            del lock.waiters[name]
            _grant(waiter.requester, waiter.request)
        self._refuse_late(lock, lambda each: max(now_s, lock.free_s) > each.until_s)

    def _grant_next(self, lock: _Lock) -> None:
        name, waiter = next(iter(lock.waiters.items()))
        del lock.waiters[name]
        del self._marks[name]
        _grant(waiter.requester, waiter.request)

    def _refuse_late(self, lock: _Lock, is_late: Callable[[_Waiter], bool]) -> None:
        """Refuse those who cannot have the lock while their callers wait."""
        for name, waiter in [each for each in lock.waiters.items() if is_late(each[1])]:
            del lock.waiters[name]
            del self._marks[name]
            left_s = max(PAUSE_AFTER_CRASH_S / 2, lock.free_s - self._clock.now())
            refusal = Refusal(RefusalReason.SUSPECT, left_s, expected_s=left_s)
            reply = SlotReply(waiter.request.number, SlotOutcome.REFUSED, refusal=refusal)
            waiter.requester.send_reply(reply)


def _grant(requester: Requester, request: SlotRequest) -> None:
    requester.send_reply(SlotReply(request.number, SlotOutcome.GRANTED))
