"""The task that replicates the leader's log to one peer."""

import asyncio

from result import Result

from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import address_of
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.peer_clients import PeerClients
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.replication_listener import ReplicationListener
from indigoworks.consensus.role import Role
from indigoworks.wire.control_pb2 import (
    AppendReply,
    AppendRequest,
    Frame,
    Member,
    SnapshotReply,
    SnapshotRequest,
)
from indigoworks.wire.errors import WireError


class PeerReplication:
    """Sends heartbeats, entries and snapshots to one peer, one request at a time.

    :ivar match_index: newest index known to stand in the peer's log.
    :ivar confirmed_at_s: own clock before the newest request was sent that the peer took.
    """

    def __init__(
        self,
        peer: Member,
        replica: Replica,
        clients: PeerClients,
        clock: Clock,
        timing: ConsensusTiming,
        listener: ReplicationListener,
    ) -> None:
        self.peer = peer
        self.match_index = 0
        self.confirmed_at_s = float("-inf")
        self.started_at_s = clock.now()
        self._replica = replica
        self._clients = clients
        self._clock = clock
        self._timing = timing
        self._listener = listener
        self._generation = replica.generation
        self._term = replica.term
        self._next_index = replica.log.last_index + 1
        self._echoed_clock_s = 0.0
        self._work = asyncio.Event()

    def wake(self) -> None:
        """Send at once what the peer misses."""
        self._work.set()

    def silence_s(self) -> float:
        """Return how long the peer has confirmed nothing, in seconds."""
        return self._clock.now() - max(self.confirmed_at_s, self.started_at_s)

    async def run(self) -> None:
        """Replicate until cancelled."""
        while self._is_leading():
            self._work.clear()
            is_confirmed = await self._exchange()
            if is_confirmed and self._next_index <= self._replica.log.last_index:
                continue
            await self._wait_for_work(is_confirmed)

    def _is_leading(self) -> bool:
        replica = self._replica
        is_same = (replica.generation, replica.term) == (self._generation, self._term)
        return is_same and replica.role is Role.LEADER

    async def _wait_for_work(self, is_confirmed: bool) -> None:
        if not is_confirmed:
            # A peer that does not answer is not asked faster because there is more to send.
            await self._clock.sleep(self._timing.heartbeat_s)
            return
        try:
            async with asyncio.timeout(self._timing.heartbeat_s):
                await self._work.wait()
        except TimeoutError:
            return

    async def _exchange(self) -> bool:
        # The lease counts from before sending: the peer's promise starts later than this reading.
        sent_at_s = self._clock.now()
        if self._next_index <= self._replica.log.base_index:
            return await self._send_snapshot(sent_at_s)
        return await self._send_append(sent_at_s)

    async def _send_append(self, sent_at_s: float) -> bool:
        request = self._append_request()
        called = await self._call(Frame(append_request=request), self._timing.call_timeout_s)
        if called.is_err():
            return False
        reply = called.unwrap().append_reply
        if not self._confirm(reply.term, sent_at_s):
            return False
        self._echoed_clock_s = reply.clock_s
        self._take_match(reply)
        self._listener.on_progress()
        return True

    async def _call(self, frame: Frame, timeout_s: float) -> Result[Frame, WireError]:
        return await self._clients.call(address_of(self.peer), frame, timeout_s)

    def _append_request(self) -> AppendRequest:
        log = self._replica.log
        previous_index = self._next_index - 1
        return AppendRequest(
            generation=self._generation,
            term=self._term,
            leader=self._replica.member,
            previous_index=previous_index,
            previous_term=log.held_term_at(previous_index),
            entries=log.batch_after(previous_index, self._timing.append_batch_bytes),
            commit_index=self._replica.commit_index,
            follower_incarnation=self.peer.incarnation,
            echoed_clock_s=self._echoed_clock_s,
            has_quorum_lease=self._listener.holds_quorum_lease(),
        )

    def _take_match(self, reply: AppendReply) -> None:
        if reply.is_success:
            self.match_index = max(self.match_index, reply.match_index)
            self._next_index = reply.match_index + 1
        else:
            self._next_index = min(self._next_index - 1, reply.match_index + 1)

    async def _send_snapshot(self, sent_at_s: float) -> bool:
        request = self._snapshot_request()
        called = await self._call(Frame(snapshot_request=request), self._timing.snapshot_timeout_s)
        if called.is_err():
            return False
        reply: SnapshotReply = called.unwrap().snapshot_reply
        if not self._confirm(reply.term, sent_at_s) or not reply.is_success:
            return False
        self.match_index = max(self.match_index, request.last_index)
        self._next_index = request.last_index + 1
        self._listener.on_progress()
        return True

    def _snapshot_request(self) -> SnapshotRequest:
        replica = self._replica
        index = replica.commit_index
        return SnapshotRequest(
            generation=self._generation,
            term=self._term,
            leader=replica.member,
            last_index=index,
            last_term=replica.log.held_term_at(index),
            configuration=replica.log.configuration_at(index),
            state=replica.state.snapshot(),
            follower_incarnation=self.peer.incarnation,
        )

    def _confirm(self, reply_term: int, sent_at_s: float) -> bool:
        """Note that the peer took a request; False when this node no longer leads."""
        if self._replica.generation != self._generation:
            return False
        self._replica.enter_term(reply_term)
        if not self._is_leading():
            return False
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
        return True
