"""Deduplicates requests that callers resend with the same idempotency key."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from hashlib import sha256

from indigoworks.common.clock import Clock
from indigoworks.router import refusals
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import CallerResponse, response_from_error
from indigoworks.router.outcome import Outcome

RETENTION_S = 300.0
"""Seconds for which the response of a finished run is cached."""

MAX_ENTRIES = 10_000
"""Maximum number of cached responses; the oldest are evicted first."""

MAX_BYTES = 64 * 1024 * 1024
"""Maximum total size of the cached bodies; the oldest responses are evicted first."""


@dataclass(frozen=True)
class IdempotencyId:
    """Idempotency key with the service, key and group that it is scoped to."""

    service: str
    key: bytes
    group: str
    idempotency_key: str


@dataclass(frozen=True)
class ActiveRun:
    """A run in progress.

    :ivar fingerprint: hash of the parts that a resent request must have in common with it.
    """

    fingerprint: bytes
    task: asyncio.Task[CallerResponse]


@dataclass(frozen=True)
class FinishedRun:
    """Response of a finished run; `finished_s` is a reading of the router's clock."""

    fingerprint: bytes
    response: CallerResponse
    finished_s: float


class IdempotencyCache:
    """Coalesces concurrent requests with one idempotency key, and answers later ones from memory.

    It covers requests that reach the same router process within RETENTION_S of the end of the run,
    unless newer responses have exceeded MAX_ENTRIES or MAX_BYTES. Outcomes `completed` and
    `unknown` are cached; after `not-run` a resent request runs again. A run with an idempotency key
    continues if its caller disconnects, so that a resent request finds its response.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._runs: dict[IdempotencyId, ActiveRun] = {}
        self._finished: OrderedDict[IdempotencyId, FinishedRun] = OrderedDict()
        self._finished_bytes = 0

    async def answer(
        self, request: CallerRequest, run: Callable[[], Awaitable[CallerResponse]]
    ) -> CallerResponse:
        """Return the response of the active or cached run; call `run` only if there is none."""
        self._evict_old()
        identity = _identity(request)
        fingerprint = _fingerprint(request)
        known = self._runs.get(identity) or self._finished.get(identity)
        if known is not None and known.fingerprint != fingerprint:
            return response_from_error(refusals.idempotency_key_reused())
        if isinstance(known, FinishedRun):
            return known.response
        if known is None:
            known = self._start(identity, fingerprint, run)
        # A caller that disconnects must not cancel the run for the others.
        return await asyncio.shield(known.task)

    async def finish(self) -> None:
        """Wait for the runs in progress."""
        tasks = [run.task for run in self._runs.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(
        self,
        identity: IdempotencyId,
        fingerprint: bytes,
        run: Callable[[], Awaitable[CallerResponse]],
    ) -> ActiveRun:
        started = ActiveRun(
            fingerprint, asyncio.ensure_future(self._run(identity, fingerprint, run))
        )
        self._runs[identity] = started
        return started

    async def _run(
        self,
        identity: IdempotencyId,
        fingerprint: bytes,
        run: Callable[[], Awaitable[CallerResponse]],
    ) -> CallerResponse:
        try:
            response = await run()
            if response.outcome is not Outcome.NOT_RUN:
                self._store(identity, FinishedRun(fingerprint, response, self._clock.now()))
            return response
        finally:
            # In the event-loop iteration that caches the response: a resend finds one or the other.
            del self._runs[identity]

    def _store(self, identity: IdempotencyId, finished: FinishedRun) -> None:
        self._finished[identity] = finished
        self._finished_bytes += len(finished.response.body)
        self._evict_old()

    def _evict_old(self) -> None:
        oldest_kept_s = self._clock.now() - RETENTION_S
        while self._finished:
            identity, oldest = next(iter(self._finished.items()))
            if oldest.finished_s >= oldest_kept_s and not self._is_over_bounds():
                return
            del self._finished[identity]
            self._finished_bytes -= len(oldest.response.body)

    def _is_over_bounds(self) -> bool:
        is_too_many = len(self._finished) > MAX_ENTRIES
        return is_too_many or self._finished_bytes > MAX_BYTES


def _identity(request: CallerRequest) -> IdempotencyId:
    return IdempotencyId(request.service, request.key, request.group, request.idempotency_key or "")


def _fingerprint(request: CallerRequest) -> bytes:
    """Return a hash of method, path and body, each preceded by its length."""
    digest = sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
