"""What a node does before it ends on request."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import address_of, is_member, is_voter
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.leader_tenure import LeaderTenure
from indigoworks.consensus.leadership import Leadership
from indigoworks.consensus.peer_clients import PeerClients
from indigoworks.consensus.peer_replication import PeerReplication
from indigoworks.consensus.replica import Replica
from indigoworks.wire.control_pb2 import Frame, JoinRequest, TransferLeadershipRequest

STEP_S = 0.02
ASK_INTERVAL_S = 0.2


class PlannedStop:
    """Hands leadership over, then leaves the configuration, each within a bounded time."""

    def __init__(
        self, replica: Replica, clients: PeerClients, clock: Clock, timing: ConsensusTiming
    ) -> None:
        self._replica = replica
        self._clients = clients
        self._clock = clock
        self._timing = timing

    async def run(self, tenure: LeaderTenure | None) -> None:
        """Do both; a step that is not possible in its time is skipped."""
        if tenure is not None:
            await self._within(self._timing.transfer_s, self._hand_over(tenure))
        await self._within(self._timing.leave_s, self._leave())

    async def _within(self, limit_s: float, step: Coroutine[Any, Any, None]) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await step
        except TimeoutError:
            log_message(message_type="consensus:stop_step_timed_out")

    async def _hand_over(self, tenure: LeaderTenure) -> None:
        """Stop taking commands, wait for the best voter to have all, and ask it to take over."""
        tenure.membership.prepare_successor()
        leadership = tenure.leadership
        while leadership.is_current and self._live_peers(tenure):
            candidates = self._live_voters(tenure)
            if candidates:
                # Commands are taken as long as no voter could take over.
                leadership.renounce_lease()
            successor = self._most_recent_complete(candidates)
            if successor is not None:
                await self._ask_to_take_over(successor, leadership)
                return
            await self._clock.sleep(STEP_S)

    def _live_peers(self, tenure: LeaderTenure) -> list[PeerReplication]:
        """Return the peers that are in touch and are not about to stop themselves."""
        return [
            peer
            for peer in tenure.leadership.peers
            if peer.silence_s() < self._timing.live_peer_s
            and not tenure.membership.is_leaving(peer.peer.incarnation)
        ]

    def _live_voters(self, tenure: LeaderTenure) -> list[PeerReplication]:
        configuration = self._replica.log.configuration
        return [
            peer
            for peer in self._live_peers(tenure)
            if is_voter(configuration, peer.peer.incarnation)
        ]

    def _most_recent_complete(self, peers: list[PeerReplication]) -> PeerReplication | None:
        last_index = self._replica.log.last_index
        complete = [peer for peer in peers if peer.match_index == last_index]
        return max(complete, key=lambda peer: peer.confirmed_at_s, default=None)

    async def _ask_to_take_over(self, peer: PeerReplication, leadership: Leadership) -> None:
        request = TransferLeadershipRequest(generation=leadership.generation, term=leadership.term)
        log_message(message_type="consensus:handover", successor=peer.peer.name)
        # From here on voters may ignore this leader's lease, also long after: it never leads this
        # term again, whatever becomes of the request.
        self._replica.become_follower()
        await self._clients.call(
            address_of(peer.peer),
            Frame(transfer_leadership_request=request),
            self._timing.call_timeout_s,
        )

    async def _leave(self) -> None:
        """Ask the leader, until this node is out of the configuration."""
        own = self._replica.member
        while self._has_others():
            leader = self._replica.leader
            if leader is not None and leader.incarnation != own.incarnation:
                request = Frame(join_request=JoinRequest(member=own, is_leaving=True))
                called = await self._clients.call(
                    address_of(leader), request, self._timing.call_timeout_s
                )
                if called.is_ok() and called.unwrap().join_reply.is_removed:
                    return
            await self._clock.sleep(ASK_INTERVAL_S)

    def _has_others(self) -> bool:
        configuration = self._replica.log.configuration
        own = self._replica.member.incarnation
        others = [voter for voter in configuration.voters if voter.incarnation != own]
        return bool(others) and is_member(configuration, own)
