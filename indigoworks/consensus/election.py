"""The task that watches the leader and campaigns."""

import asyncio
from collections.abc import Callable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import address_of, quorum_size
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.peer_clients import PeerClients
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.role import Role
from indigoworks.wire.control_pb2 import Frame, Member, TransferLeadershipRequest, VoteRequest

LONGEST_PAUSE_S = 0.1
SHORTEST_PAUSE_S = 0.01


class Election:
    """Campaigns when the leader has been silent, or when it hands over to this node."""

    def __init__(
        self,
        replica: Replica,
        clients: PeerClients,
        clock: Clock,
        timing: ConsensusTiming,
        on_elected: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._clients = clients
        self._clock = clock
        self._timing = timing
        self._on_elected = on_elected

    async def run(self) -> None:
        """Campaign whenever the election deadline passes, until cancelled."""
        while True:
            await self._clock.sleep(self._pause_s())
            if self._may_campaign() and self._clock.now() >= self._replica.election_deadline_s:
                await self.campaign()

    def may_take_over(self, request: TransferLeadershipRequest) -> bool:
        """Tell whether a handover is for the generation and term that this node is in."""
        replica = self._replica
        return (
            self._may_campaign()
            and replica.role is Role.FOLLOWER
            and request.generation == replica.generation
            and request.term == replica.term
        )

    async def take_over(self, term: int) -> None:
        """Campaign at once, since the leader of `term` hands over to this node."""
        if self._replica.term == term and self._may_campaign():
            await self._campaign_for_votes(is_leadership_transfer=True)

    async def campaign(self) -> None:
        """Ask for pre-votes and, if a majority would vote, for votes."""
        replica = self._replica
        replica.reset_election_deadline()
        if not replica.support.has_lapsed():
            return
        generation, term = replica.generation, replica.term
        is_wanted = await self._ask_voters(self._request(term + 1, is_pre_vote=True))
        # While the answers travelled, a leader may have been heard or a vote given.
        is_same = (replica.generation, replica.term) == (generation, term)
        if is_wanted and is_same and self._may_campaign() and replica.support.has_lapsed():
            await self._campaign_for_votes(is_leadership_transfer=False)

    async def _campaign_for_votes(self, is_leadership_transfer: bool) -> None:
        replica = self._replica
        replica.become_candidate()
        generation, term = replica.generation, replica.term
        request = self._request(term, is_leadership_transfer=is_leadership_transfer)
        is_elected = await self._ask_voters(request)
        is_same = (replica.generation, replica.term) == (generation, term)
        if not is_elected or not is_same or replica.role is not Role.CANDIDATE:
            return
        log_message(
            message_type="consensus:elected",
            member=replica.member.name,
            generation=generation,
            term=term,
        )
        replica.become_leader()
        self._on_elected()

    def _may_campaign(self) -> bool:
        replica = self._replica
        if replica.role is Role.LEADER or replica.is_stopping or replica.has_withdrawn:
            return False
        return replica.is_initialised and replica.is_voter

    def _pause_s(self) -> float:
        remaining_s = self._replica.election_deadline_s - self._clock.now()
        return min(max(remaining_s, SHORTEST_PAUSE_S), LONGEST_PAUSE_S)

    def _request(
        self, term: int, is_pre_vote: bool = False, is_leadership_transfer: bool = False
    ) -> VoteRequest:
        log = self._replica.log
        return VoteRequest(
            generation=self._replica.generation,
            term=term,
            candidate=self._replica.member,
            last_log_index=log.last_index,
            last_log_term=log.last_term,
            is_pre_vote=is_pre_vote,
            is_leadership_transfer=is_leadership_transfer,
        )

    async def _ask_voters(self, request: VoteRequest) -> bool:
        """Return whether a majority, this node included, grants the request."""
        configuration = self._replica.log.configuration
        missing = quorum_size(configuration) - 1
        own = self._replica.member.incarnation
        others = [voter for voter in configuration.voters if voter.incarnation != own]
        if missing == 0:
            return True
        asked = [asyncio.ensure_future(self._ask(voter, request)) for voter in others]
        try:
            for answer in asyncio.as_completed(asked):
                missing -= await answer
                if missing == 0:
                    return True
            return False
        finally:
            for task in asked:
                task.cancel()

    async def _ask(self, voter: Member, request: VoteRequest) -> bool:
        addressed = VoteRequest()
        addressed.CopyFrom(request)
        addressed.voter_incarnation = voter.incarnation
        called = await self._clients.call(
            address_of(voter), Frame(vote_request=addressed), self._timing.call_timeout_s
        )
        if called.is_err():
            return False
        reply = called.unwrap().vote_reply
        if self._replica.generation == request.generation:
            self._replica.enter_term(reply.term)
        return reply.is_granted
