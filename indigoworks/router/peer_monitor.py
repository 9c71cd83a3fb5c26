"""Tells whether other routers still answer."""

import asyncio
from dataclasses import dataclass, field

from result import Err

from indigoworks.common.clock import Clock
from indigoworks.router.peer_clock import PeerClock
from indigoworks.router.router_peer import RouterPeer
from indigoworks.wire import control_pb2
from indigoworks.wire.rpc_client import RpcClient

PROBE_TIMEOUT_S = 0.25
"""Longest wait for the answer to a probe, connecting included."""

FRESH_ANSWER_S = 0.5
"""A router that answered anything within this time needs no probe before it gets a request."""

MIN_SUSPICION_S = 1.0
MAX_SUSPICION_S = 8.0
"""Seconds for which a router that failed to answer is not chosen as dispatcher; doubled with each
failure in a row."""

_NO_PEERS: frozenset[RouterPeer] = frozenset()


@dataclass
class PeerState:
    """What is known of one run of one router; times are readings of the own clock."""

    clock: PeerClock = field(default_factory=PeerClock)
    answered_at_s: float = float("-inf")
    suspected_until_s: float = float("-inf")
    suspicion_s: float = MIN_SUSPICION_S
    probe: asyncio.Task[bool] | None = None


class PeerMonitor:
    """Probes routers before a request is risked on them, and while one waits long on them.

    A frozen or cut-off router keeps its connections open: only a probe tells it from one whose
    queue is long.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[RouterPeer, PeerState] = {}
        self._last_suspicion_until_s = float("-inf")

    def suspects(self) -> frozenset[RouterPeer]:
        """Return the routers that failed lately."""
        now_s = self._clock.now()
        if now_s >= self._last_suspicion_until_s:
            return _NO_PEERS
        suspected = (
            peer for peer, state in self._states.items() if state.suspected_until_s > now_s
        )
        return frozenset(suspected)

    def mark_suspect(self, peer: RouterPeer) -> None:
        """Note that the router failed; failures that come together count once."""
        state = self._state(peer)
        now_s = self._clock.now()
        state.answered_at_s = float("-inf")
        if state.suspected_until_s > now_s:
            return
        state.suspected_until_s = now_s + state.suspicion_s
        self._last_suspicion_until_s = max(self._last_suspicion_until_s, state.suspected_until_s)
        state.suspicion_s = min(MAX_SUSPICION_S, 2 * state.suspicion_s)

    def record_answer(self, peer: RouterPeer, reading_s: float) -> None:
        """Note an answer of the router with a reading of its clock."""
        state = self._state(peer)
        now_s = self._clock.now()
        state.answered_at_s = now_s
        state.suspected_until_s = float("-inf")
        state.suspicion_s = MIN_SUSPICION_S
        state.clock.record_reading(reading_s, now_s)

    def peer_deadline(self, peer: RouterPeer, deadline_s: float) -> float | None:
        """Return an own deadline as a reading of the router's clock, never too late."""
        return self._state(peer).clock.deadline(deadline_s, self._clock.now())

    async def is_reachable(self, peer: RouterPeer, client: RpcClient) -> bool:
        """Tell whether a request may be risked on the router; probe it if it was long silent."""
        if self._clock.now() - self._state(peer).answered_at_s <= FRESH_ANSWER_S:
            return True
        return await self.is_alive(peer, client)

    async def is_alive(self, peer: RouterPeer, client: RpcClient) -> bool:
        """Probe the router; requests that wait on the same router share one probe."""
        state = self._state(peer)
        if state.probe is None or state.probe.done():
            state.probe = asyncio.ensure_future(self._probe(peer, client))
        is_alive = await asyncio.shield(state.probe)
        if not is_alive:
            self.mark_suspect(peer)
        return is_alive

    def keep_only(self, peers: tuple[RouterPeer, ...]) -> None:
        """Forget routers that are gone."""
        self._states = {peer: self._states[peer] for peer in peers if peer in self._states}

    async def _probe(self, peer: RouterPeer, client: RpcClient) -> bool:
        request = control_pb2.Frame(identity_request=control_pb2.IdentityRequest())
        called = await client.call(request, PROBE_TIMEOUT_S)
        if isinstance(called, Err):
            return False
        reply = called.unwrap()
        if reply.identity_reply.member.incarnation != peer.incarnation:
            return False
        self.record_answer(peer, reply.identity_reply.clock_s)
        return True

    def _state(self, peer: RouterPeer) -> PeerState:
        state = self._states.get(peer)
        if state is None:
            state = self._states[peer] = PeerState()
        return state
