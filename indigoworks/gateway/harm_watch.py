"""Finds out which requests were in hand at servers that ended."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.flow_state import FlowState
from indigoworks.gateway.reach_watch import ReachWatch
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.server_answer import ExchangeResult, ServerAnswer
from indigoworks.quarantine.counted_ends import NO_SLOT
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord

MAX_ENDED_IN_A_TRY = 2
"""Servers that may end under one try of a caller, repeats by the gateway included. The first may
have ended for any reason, and the repeat serves the request; after the second the caller is told. A
harmful request that comes once ends two servers, and three without this bound (simulated)."""


class HarmWatch:
    """Tells the quarantine how requests left their servers, and stops those that it refuses.

    A connection that breaks off says nothing of the server: answers are lost and links are cut as
    well. Only when no new connection comes about right after it, the server counts as ended.
    """

    def __init__(
        self, quarantine: Quarantine, watch: ReachWatch, servers: ServerList, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._watch = watch
        self._servers = servers
        self._clock = clock
        self._judgements: set[asyncio.Task[None]] = set()

    def refusal(self, request: ClientRequest) -> Refusal | None:
        """Return why a request must reach no server; None: it may."""
        if not self._quarantine.has_suspects():
            return None
        refused_for_s = self._quarantine.refused_for_s(self._content(request))
        return Refusal(RefusalReason.QUARANTINED, refused_for_s) if refused_for_s > 0 else None

    def suspect_mark(self, request: ClientRequest) -> int:
        """Return what names a request under which a server ended, whoever sends it; 0: none
        has."""
        if not self._quarantine.has_suspects():
            return 0
        mark = self._quarantine.suspect_mark(self._content(request))
        return 0 if mark is None else mark.head ^ mark.body

    def note_sending(self, state: FlowState) -> None:
        """Take note that a request is about to be sent: what is known of it now came before."""
        if self._quarantine.has_suspects():
            state.known_end_slot = self._quarantine.last_end_slot(self._content(state.request))
        else:
            state.known_end_slot = NO_SLOT

    def note(self, state: FlowState, server: ServerRecord, answer: ServerAnswer) -> None:
        """Take how a request left a server; `may_repeat` knows what came of it."""
        if answer.result is ExchangeResult.ANSWERED:
            if not answer.is_not_run:
                self._quarantine.note_served(self._content(state.request))
        elif answer.was_sent:
            judging = self._judge(state, server, self._clock.now(), state.known_end_slot)
            state.judgement = asyncio.ensure_future(judging)
            self._judgements.add(state.judgement)
            state.judgement.add_done_callback(self._judgements.discard)

    async def may_repeat(self, state: FlowState) -> bool:
        """Tell whether the harm that a try has done lets it be sent again."""
        if state.judgement is not None:
            await asyncio.shield(state.judgement)
        return state.servers_ended < MAX_ENDED_IN_A_TRY

    def close(self) -> None:
        """End what is under way."""
        for task in self._judgements:
            task.cancel()

    async def _judge(
        self, state: FlowState, server: ServerRecord, lost_s: float, known_slot: int
    ) -> None:
        if not await self._has_ended(server, lost_s):
            return
        content = self._content(state.request)
        request_id = state.request.request_id
        state.servers_ended += 1
        self._quarantine.note_crash(content, request_id, server.server_id, lost_s, known_slot)

    async def _has_ended(self, server: ServerRecord, lost_s: float) -> bool:
        """Tell whether a server ended by `lost_s`, as far as that shows by now."""
        if not await self._watch.is_reached_since(server, lost_s):
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
