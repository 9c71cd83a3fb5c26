"""Lets tries of suspect requests go to servers one at a time."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.gateway.attempt_locks import AttemptLock, AttemptLocks
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.crash_attribution import CrashAttribution
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.request_state import RequestState

VERDICT_S = 1.5
"""Longest time from the end of a try to the word on whether its server ended: one that falls silent
is noticed by a new connection that does not come about."""


class AttemptGate:
    """Asks for the lock of a request under which a server ended or may have ended, until one of its
    tries is served or no server turns out to have ended.

    Servers end for other reasons as well: the first try that is served opens the way for all.
    """

    def __init__(
        self, crash_attribution: CrashAttribution, locks: AttemptLocks, clock: Clock
    ) -> None:
        self._crash_attribution = crash_attribution
        self._locks = locks
        self._clock = clock

    def is_suspect(self, request: ClientRequest) -> bool:
        """Tell whether a server ended, or may have ended, under a try of a request since one was
        served."""
        return self._crash_attribution.suspect_mark(request) != 0

    async def lock(self, state: RequestState, limit_s: float) -> AttemptLock | Refusal | None:
        """Wait until no other try is under way; returns the lock, why it is not to be had in time,
        or None where nobody gives it out.

        :param limit_s: clock reading until which its caller may wait for it.
        """
        mark = self._crash_attribution.suspect_mark(state.request)
        lease_s = state.deadline_s - self._clock.now() + VERDICT_S
        lock = await self._locks.acquire(mark, limit_s, lease_s)
        if lock is None:
            # A lock is free again once its try is judged; so much holds without one, too.
            await self._crash_attribution.wait_for_verdicts(limit_s)
        return lock

    def unlock(self, state: RequestState, lock: AttemptLock | None, ended_before: int) -> None:
        """Let the next try go on, once it is known whether a server ended under this one.

        :param ended_before: servers that had ended under the request before the lock was taken.
        """
        if lock is None:
            return

        def release(judged: "asyncio.Task[None] | None" = None) -> None:
            lock.release(state.is_served, lambda: state.servers_crashed > ended_before)

        if state.verdict is None or state.verdict.done():
            release()
        else:
            state.verdict.add_done_callback(release)
