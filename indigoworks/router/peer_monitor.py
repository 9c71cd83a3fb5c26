"""Failure detector for other routers."""

import asyncio
from dataclasses import dataclass, field

from result import Err

from indigoworks.common.clock import Clock
from indigoworks.router.peer_clock import PeerClock
from indigoworks.router.router_peer import RouterPeer
from indigoworks.wire import control_pb2
from indigoworks.wire.rpc_client import RpcClient

PROBE_TIMEOUT_S = 0.25
"""Timeout of a probe, including the time to connect."""

FRESH_REPLY_S = 0.5
"""A router that answered within this time is not probed before a request is forwarded to it."""

MIN_SUSPICION_S = 1.0
MAX_SUSPICION_S = 8.0
"""Seconds for which a router that failed to answer, or declined a forwarded request, is not
selected as dispatcher; doubled with each consecutive failure."""

_NO_PEERS: frozenset[RouterPeer] = frozenset()


@dataclass
class PeerState:
    """State of one process of a peer router; times are readings of the local clock."""

    clock: PeerClock = field(default_factory=PeerClock)
    replied_at_s: float = float("-inf")
    suspected_until_s: float = float("-inf")
    suspicion_s: float = MIN_SUSPICION_S
    probe: asyncio.Task[bool] | None = None


class PeerMonitor:
    """Probes routers before requests are forwarded to them and while a forwarded request waits.

    A frozen or partitioned router keeps its connections open: only a probe distinguishes it from
    one with a long queue.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[RouterPeer, PeerState] = {}
        self._last_suspicion_until_s = float("-inf")

    def suspects(self) -> frozenset[RouterPeer]:
        """Return the routers that recently failed to answer or declined a request."""
        now_s = self._clock.now()
        if now_s >= self._last_suspicion_until_s:
            return _NO_PEERS
        suspected = (
            peer for peer, state in self._states.items() if state.suspected_until_s > now_s
        )
        return frozenset(suspected)

    def mark_suspect(self, peer: RouterPeer) -> None:
        """Record a failed probe or forward; failures while the router is suspected count once."""
        state = self._state(peer)
        now_s = self._clock.now()
        state.replied_at_s = float("-inf")
        if state.suspected_until_s > now_s:
            return
        state.suspected_until_s = now_s + state.suspicion_s
        self._last_suspicion_until_s = max(self._last_suspicion_until_s, state.suspected_until_s)
        state.suspicion_s = min(MAX_SUSPICION_S, 2 * state.suspicion_s)

    def record_reply(self, peer: RouterPeer, reading_s: float) -> None:
        """Record a reply of the router, with a reading of its clock."""
        state = self._state(peer)
        now_s = self._clock.now()
        state.replied_at_s = now_s
        state.suspected_until_s = float("-inf")
        state.suspicion_s = MIN_SUSPICION_S
        state.clock.record_reading(reading_s, now_s)

    def peer_deadline(self, peer: RouterPeer, deadline_s: float) -> float | None:
        """Convert a local deadline to the router's clock, never later; None if it is unknown."""
        return self._state(peer).clock.deadline(deadline_s, self._clock.now())

    async def is_reachable(self, peer: RouterPeer, client: RpcClient) -> bool:
        """Tell whether the router answers; probe it if its last reply is not fresh."""
        if self._clock.now() - self._state(peer).replied_at_s <= FRESH_REPLY_S:
            return True
        return await self.is_alive(peer, client)

    async def is_alive(self, peer: RouterPeer, client: RpcClient) -> bool:
        """Probe the router; concurrent callers share one probe."""
        state = self._state(peer)
        if state.probe is None or state.probe.done():
            state.probe = asyncio.ensure_future(self._probe(peer, client))
        is_alive = await asyncio.shield(state.probe)
        if not is_alive:
            self.mark_suspect(peer)
        return is_alive

    def keep_only(self, peers: tuple[RouterPeer, ...]) -> None:
        """Remove the state of all other routers."""
        self._states = {peer: self._states[peer] for peer in peers if peer in self._states}

    async def _probe(self, peer: RouterPeer, client: RpcClient) -> bool:
        request = control_pb2.Frame(identity_request=control_pb2.IdentityRequest())
        called = await client.call(request, PROBE_TIMEOUT_S)
        if isinstance(called, Err):
            return False
        reply = called.unwrap()
        if reply.identity_reply.member.incarnation != peer.incarnation:
            return False
        self.record_reply(peer, reply.identity_reply.clock_s)
        return True

    def _state(self, peer: RouterPeer) -> PeerState:
        state = self._states.get(peer)
        if state is None:
            state = self._states[peer] = PeerState()
        return state
