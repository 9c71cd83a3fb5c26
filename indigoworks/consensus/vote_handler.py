"""Answers to candidates."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.consensus.refusal import (
    not_in_generation,
    older_generation,
    other_incarnation,
    withdrawn,
)
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.role import Role
from indigoworks.consensus.vote_rules import is_log_up_to_date
from indigoworks.wire.control_pb2 import Frame, VoteReply, VoteRequest


class VoteHandler:
    """Grants or refuses votes and pre-votes."""

    def __init__(self, replica: Replica, holds_quorum_lease: Callable[[], bool]) -> None:
        self._replica = replica
        self._holds_quorum_lease = holds_quorum_lease

    def handle(self, request: VoteRequest) -> Frame:
        """Return the reply to a candidate."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        is_granted = self._grants_pre_vote(request) if request.is_pre_vote else self._vote(request)
        return Frame(vote_reply=VoteReply(term=self._replica.term, is_granted=is_granted))

    def _refusal(self, request: VoteRequest) -> Frame | None:
        replica = self._replica
        # The vote of an earlier run of this process is lost with its memory: never speak for it.
        if request.voter_incarnation != replica.member.incarnation:
            return other_incarnation()
        if request.generation < replica.generation:
            return older_generation(replica.generation)
        if request.generation > replica.generation:
            replica.adopt_generation(request.generation)
        if replica.has_withdrawn:
            return withdrawn()
        if not replica.is_initialised:
            return not_in_generation()
        return None

    def _grants_pre_vote(self, request: VoteRequest) -> bool:
        return (
            request.term > self._replica.term
            and self._may_support(request)
            and self._is_up_to_date(request)
        )

    def _vote(self, request: VoteRequest) -> bool:
        replica = self._replica
        # A bound voter does not even enter the candidate's term, else it would refuse its leader.
        if request.term < replica.term or not self._may_support(request):
            return False
        replica.enter_term(request.term)
        if replica.voted_for not in ("", request.candidate.incarnation):
            return False
        if not self._is_up_to_date(request):
            return False
        replica.voted_for = request.candidate.incarnation
        replica.reset_election_deadline()
        log_message(
            message_type="consensus:vote_granted",
            member=replica.member.name,
            candidate=request.candidate.name,
            term=request.term,
        )
        return True

    def _may_support(self, request: VoteRequest) -> bool:
        replica = self._replica
        if replica.role is Role.LEADER and not request.is_leadership_transfer:
            return request.term > replica.term and not self._holds_quorum_lease()
        return replica.support.may_support(request)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        return is_log_up_to_date(self._replica.log, request)
