"""Allows one attempt of a suspect request at a time, by a lock."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.gateway.attempt_locks import AttemptLock, AttemptLocks
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.crash_attribution import CrashAttribution
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.request_state import RequestState

VERDICT_S = 1.5
"""Longest time from the end of an attempt until it is known whether its server crashed; a server
that falls silent is detected by a failed new connection."""


class AttemptGate:
    """Acquires the lock of a suspect request: one under which a server crashed or may have crashed.

    A request stops being suspect when one of its attempts is served, since servers also crash for
    other reasons, or when no server turns out to have crashed.
    """

    def __init__(
        self, crash_attribution: CrashAttribution, locks: AttemptLocks, clock: Clock
    ) -> None:
        self._crash_attribution = crash_attribution
        self._locks = locks
        self._clock = clock

    def is_suspect(self, request: ClientRequest) -> bool:
        """Return whether a server crashed or may have crashed under an attempt of the request
        since an attempt was last served."""
        return self._crash_attribution.suspect_mark(request) != 0

    async def lock(self, state: RequestState, limit_s: float) -> AttemptLock | Refusal | None:
        """Wait until no other attempt is in flight or, without locks, for verdicts on own attempts.

        :param limit_s: clock reading until which the request may wait for the lock.
        :returns: the lock, a refusal if it is not available in time, or None if locks cannot be
            obtained at present.
        """
        mark = self._crash_attribution.suspect_mark(state.request)
        lease_s = state.deadline_s - self._clock.now() + VERDICT_S
        lock = await self._locks.acquire(mark, limit_s, lease_s)
        if lock is None:
            # A lock would be released after the verdict on its attempt: wait for own verdicts here.
            await self._crash_attribution.wait_for_verdicts(limit_s)
        return lock

    def unlock(self, state: RequestState, lock: AttemptLock | None, crashed_before: int) -> None:
        """Release the lock once it is known whether a server crashed under this attempt.

        :param crashed_before: number of servers that had crashed under the request when the lock
            was acquired.
        """
        if lock is None:
            return

        def release(verdict: "asyncio.Task[None] | None" = None) -> None:
            lock.release(state.is_served, lambda: state.servers_crashed > crashed_before)

        if state.verdict is None or state.verdict.done():
            release()
        else:
            state.verdict.add_done_callback(release)
