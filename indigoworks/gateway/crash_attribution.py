"""Attributes crashes of servers to the requests that were in flight there."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.reachability_monitor import ReachabilityMonitor
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.gateway.unresolved_losses import RequestLoss, UnresolvedLosses
from indigoworks.quarantine.crash_ids import NO_WINDOW
from indigoworks.quarantine.doubt import Doubt
from indigoworks.quarantine.doubt_table import DoubtTable
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import mark_scopes
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord

MAX_CRASHES_PER_ATTEMPT = 2
"""Servers that may crash under one attempt of a caller, retries by the gateway included. The first
may have crashed for any reason, and the retry serves the request; after the second the caller gets
an error. A harmful request that is sent once crashes two servers; without this bound, a third."""

BROADCAST_DELAY_S = 0.004
"""Delay before peers are told of a broken connection. A running server accepts a new connection
within this time, and overloaded servers reset many connections."""


class CrashAttribution:
    """Reports the outcome of requests to the quarantine, and refuses quarantined requests.

    A broken connection alone does not prove a crash: responses get lost and links fail. A server
    counts as crashed only if no new connection can be opened right afterwards, and one to another
    server can, or once the server list shows that its process has ended. Until that is known
    here and at the peers, the request is in doubt: otherwise a harmful request that many callers
    send would crash a server with each attempt in the meantime.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        doubts: DoubtTable,
        reachability: ReachabilityMonitor,
        path: PathMonitor,
        servers: ServerList,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._doubts = doubts
        self._reachability = reachability
        self._path = path
        self._servers = servers
        self._clock = clock
        self._verdicts: set[asyncio.Task[None]] = set()
        self.losses = UnresolvedLosses(servers, self._record_loss, self._is_unreached, clock)

    def refusal(self, request: ClientRequest) -> Refusal | None:
        """Return the refusal of a quarantined request; None if it may be sent."""
        if not self._quarantine.has_suspects():
            return None
        refused_for_s = self._quarantine.refused_for_s(self._content(request))
        return Refusal(RefusalReason.QUARANTINED, refused_for_s) if refused_for_s > 0 else None

    def suspect_mark(self, request: ClientRequest) -> int:
        """Return the fingerprint of a request under which a server crashed or may have crashed, the
        same for all callers; 0 if no server did."""
        if not self._quarantine.has_suspects() and not self._doubts.has_any():
            return 0
        content = self._content(request)
        mark = self._quarantine.suspect_mark(content) or self._doubts.find(content)
        return 0 if mark is None else mark.short

    def record_send(self, state: RequestState) -> None:
        """Record what is known of a request right before it is sent."""
        state.known_crash_windows = ()
        state.doubts = frozenset()
        if self._quarantine.has_suspects():
            state.known_crash_windows = self._quarantine.known_windows(self._content(state.request))
        if self._doubts.has_any():
            state.doubts = self._doubts.open_numbers(self._content(state.request))
            state.doubt_window = self._quarantine.window_of(self._clock.now())

    def record_response(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> None:
        """Record the outcome of an attempt; `may_retry` waits for the verdict on its server."""
        if response.result is ExchangeResult.ANSWERED:
            if not response.is_not_run:
                self._quarantine.record_served(self._content(state.request))
        elif response.was_sent:
            verdict = self._attribute(
                state, server, response, self._clock.now(), state.known_crash_windows
            )
            state.verdict = asyncio.ensure_future(verdict)
            self._verdicts.add(state.verdict)
            state.verdict.add_done_callback(self._verdicts.discard)

    async def may_retry(self, state: RequestState) -> bool:
        """Return whether a request may be retried, given the crashes under it so far."""
        if state.verdict is not None:
            await asyncio.shield(state.verdict)
        return state.servers_crashed < MAX_CRASHES_PER_ATTEMPT

    async def wait_for_verdicts(self, limit_s: float) -> None:
        """Wait for the verdicts on all servers that may have crashed under requests sent from here.

        :param limit_s: clock reading until which to wait.
        """
        if self._verdicts:
            left_s = max(0.0, limit_s - self._clock.now())
            await asyncio.wait(set(self._verdicts), timeout=left_s)

    def close(self) -> None:
        """Cancel pending verdicts."""
        self.losses.close()
        for task in self._verdicts:
            task.cancel()

    async def _attribute(
        self,
        state: RequestState,
        server: ServerRecord,
        response: ServerResponse,
        lost_s: float,
        known_windows: tuple[int, ...],
    ) -> None:
        content = self._content(state.request)
        # A slow response does not raise a doubt: under load there are many of them.
        is_broken = response.result is ExchangeResult.LOST and not self._path.is_lost
        doubt = self._doubts.raise_for(content) if is_broken else None
        verdict = asyncio.ensure_future(self._has_crashed(server, lost_s))
        try:
            if doubt is not None:
                await self._broadcast_unless_alive(doubt, verdict)
            has_crashed = await verdict
        finally:
            verdict.cancel()
        if not has_crashed:
            if doubt is not None:
                self._doubts.lift(doubt)
            self._keep_if_unresolved(state, server, response, lost_s, known_windows)
            return
        request_id = state.request.request_id
        state.servers_crashed += 1
        if self._doubts.has_open(state.doubts):
            # The crash that was a doubt when this attempt was sent is still unconfirmed here.
            known_windows = self._with_doubt_window(content, known_windows, state.doubt_window)
        self._quarantine.record_crash(content, request_id, server.server_id, lost_s, known_windows)

    def _keep_if_unresolved(
        self,
        state: RequestState,
        server: ServerRecord,
        response: ServerResponse,
        lost_s: float,
        known_windows: tuple[int, ...],
    ) -> None:
        """Keep a loss until the server list shows whether the server has crashed.

        A server in reach that sent an invalid response has not.
        """
        is_invalid = response.exceeded is not None
        if not is_invalid or not self._reachability.is_in_reach(server):
            scopes = mark_scopes(self._content(state.request))
            request_id = state.request.request_id
            self.losses.add(RequestLoss(scopes, request_id, server, lost_s, known_windows))

    def _record_loss(self, loss: RequestLoss) -> None:
        self._quarantine.record_marked_crash(
            loss.scopes, loss.request_id, loss.server.server_id, loss.lost_s, loss.known_windows
        )

    async def _is_unreached(self, server: ServerRecord) -> bool:
        """Return whether a server accepts no connection now, while another one does."""
        if not any(each.server_id != server.server_id for each in self._servers.listed()):
            return False
        now_s = self._clock.now()
        has_responded = await self._reachability.has_responded_since(server, now_s)
        return not has_responded and await self._path.is_sound(now_s)

    async def _broadcast_unless_alive(self, doubt: Doubt, verdict: "asyncio.Future[bool]") -> None:
        """Announce a doubt to the peers unless the server accepts a new connection right away."""
        done, _ = await asyncio.wait({verdict}, timeout=BROADCAST_DELAY_S)
        if not done or verdict.result():
            self._doubts.announce(doubt)

    def _with_doubt_window(
        self, content: RequestContent, known_windows: tuple[int, ...], doubt_window: int
    ) -> tuple[int, ...]:
        """Return the windows of known crashes, including the one that was only a doubt."""
        known = known_windows or (NO_WINDOW,) * len(content.scopes())
        return tuple(max(each, doubt_window) for each in known)

    async def _has_crashed(self, server: ServerRecord, lost_s: float) -> bool:
        """Return whether a server that lost a connection at `lost_s` appears to have crashed."""
        if not await self._reachability.has_responded_since(server, lost_s):
            # While no server is reached from here, the silence of one says nothing about it.
            return await self._path.is_sound(lost_s)
        # A new process of the server may already use its address. Here the list is evidence enough:
        # a wrong suspicion only delays a request until a server answers it.
        return self._servers.has_successor(server.server_id)

    def _content(self, request: ClientRequest) -> RequestContent:
        """Return the content by which attempts of the same request are recognised.

        A call made by a server counts as made by its service: that server may crash as well, or
        its own caller may be served by another server next time.
        """
        caller = self._servers.service_at(request.caller) or request.caller
        return RequestContent(caller, request.method, request.host, request.target, request.body)
