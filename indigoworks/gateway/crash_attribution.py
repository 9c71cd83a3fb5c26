"""Finds out which requests were in hand at servers that ended."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.reachability_monitor import ReachabilityMonitor
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.quarantine.crash_ids import NO_WINDOW
from indigoworks.quarantine.doubt import Doubt
from indigoworks.quarantine.doubt_table import DoubtTable
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord

MAX_CRASHES_PER_ATTEMPT = 2
"""Servers that may end under one try of a caller, repeats by the gateway included. The first may
have ended for any reason, and the repeat serves the request; after the second the caller is told. A
harmful request that comes once ends two servers, and three without this bound (simulated)."""

BROADCAST_DELAY_S = 0.004
"""A server that lives takes a new connection within this time, so that peers need not hear of the
connection that broke off: full servers reset many."""


class CrashAttribution:
    """Tells the quarantine how requests left their servers, and stops those that it refuses.

    A connection that breaks off says nothing of the server: answers are lost and links are cut as
    well. Only when no new connection comes about right after it, the server counts as ended. Until
    that is known, and the others know it, the request is in doubt: a harmful one that many send
    would end a server with each try meanwhile.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        doubts: DoubtTable,
        reachability: ReachabilityMonitor,
        servers: ServerList,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._doubts = doubts
        self._reachability = reachability
        self._servers = servers
        self._clock = clock
        self._verdicts: set[asyncio.Task[None]] = set()

    def refusal(self, request: ClientRequest) -> Refusal | None:
        """Return why a request must reach no server; None: it may."""
        if not self._quarantine.has_suspects():
            return None
        refused_for_s = self._quarantine.refused_for_s(self._content(request))
        return Refusal(RefusalReason.QUARANTINED, refused_for_s) if refused_for_s > 0 else None

    def suspect_mark(self, request: ClientRequest) -> int:
        """Return what names a request under which a server ended or may have ended, whoever sends
        it; 0: none has."""
        if not self._quarantine.has_suspects() and not self._doubts.has_any():
            return 0
        content = self._content(request)
        mark = self._quarantine.suspect_mark(content) or self._doubts.find(content)
        return 0 if mark is None else mark.short

    def record_send(self, state: RequestState) -> None:
        """Take note that a request is about to be sent: what is known of it now came before."""
        state.known_crash_windows = ()
        state.doubts = frozenset()
        if self._quarantine.has_suspects():
            state.known_crash_windows = self._quarantine.known_windows(self._content(state.request))
        if self._doubts.has_any():
            state.doubts = self._doubts.open_numbers(self._content(state.request))
            state.doubt_window = self._quarantine.window_of(self._clock.now())

    def record_response(
        self, state: RequestState, server: ServerRecord, answer: ServerResponse
    ) -> None:
        """Take how a request left a server; `may_repeat` knows what came of it."""
        if answer.result is ExchangeResult.ANSWERED:
            if not answer.is_not_run:
                self._quarantine.record_served(self._content(state.request))
        elif answer.was_sent:
            judging = self._attribute(
                state, server, answer, self._clock.now(), state.known_crash_windows
            )
            state.verdict = asyncio.ensure_future(judging)
            self._verdicts.add(state.verdict)
            state.verdict.add_done_callback(self._verdicts.discard)

    async def may_retry(self, state: RequestState) -> bool:
        """Tell whether the harm that a try has done lets it be sent again."""
        if state.verdict is not None:
            await asyncio.shield(state.verdict)
        return state.servers_crashed < MAX_CRASHES_PER_ATTEMPT

    async def wait_for_verdicts(self, limit_s: float) -> None:
        """Wait until it is known of all servers that may have ended here whether they did.

        :param limit_s: clock reading until which to wait.
        """
        if self._verdicts:
            left_s = max(0.0, limit_s - self._clock.now())
            await asyncio.wait(set(self._verdicts), timeout=left_s)

    def close(self) -> None:
        """End what is under way."""
        for task in self._verdicts:
            task.cancel()

    async def _attribute(
        self,
        state: RequestState,
        server: ServerRecord,
        answer: ServerResponse,
        lost_s: float,
        known_slots: tuple[int, ...],
    ) -> None:
        content = self._content(state.request)
        # A server that is slow to answer gives no sign: under load there are many of these.
        is_broken = answer.result is ExchangeResult.LOST
        doubt = self._doubts.raise_for(content) if is_broken else None
        judging = asyncio.ensure_future(self._has_crashed(server, lost_s))
        try:
            if doubt is not None:
                await self._broadcast_unless_alive(doubt, judging)
            has_ended = await judging
        finally:
            judging.cancel()
        if not has_ended:
            if doubt is not None:
                self._doubts.lift(doubt)
            return
        request_id = state.request.request_id
        state.servers_crashed += 1
        if self._doubts.has_open(state.doubts):
            # Word of the end that was a sign only when this try was sent is still on its way.
            known_slots = self._with_doubted(content, known_slots, state.doubt_window)
        self._quarantine.record_crash(content, request_id, server.server_id, lost_s, known_slots)

    async def _broadcast_unless_alive(self, doubt: Doubt, judging: "asyncio.Future[bool]") -> None:
        """Tell the peers of a doubt as soon as the server has ended, or does not take a connection
        at once."""
        done, _ = await asyncio.wait({judging}, timeout=BROADCAST_DELAY_S)
        if not done or judging.result():
            self._doubts.announce(doubt)

    def _with_doubted(
        self, content: RequestContent, known_slots: tuple[int, ...], doubted_slot: int
    ) -> tuple[int, ...]:
        """Return the slots of known ends, and of the one that was a sign only."""
        known = known_slots or (NO_WINDOW,) * len(content.scopes())
        return tuple(max(each, doubted_slot) for each in known)

    async def _has_crashed(self, server: ServerRecord, lost_s: float) -> bool:
        """Tell whether a server ended by `lost_s`, as far as that shows by now."""
        if not await self._reachability.has_responded_since(server, lost_s):
            return True
        # Another life may have its address already.
        return self._servers.is_gone(server.server_id)

    def _content(self, request: ClientRequest) -> RequestContent:
        """Return what makes another try of a request the same.

        A call of a server counts as one of its service: the server that makes it ends as well, or
        its caller is served by another one the next time.
        """
        caller = self._servers.service_at(request.caller) or request.caller
        return RequestContent(caller, request.method, request.host, request.target, request.body)
