"""Answers to the requests of other controllers."""

from collections.abc import Callable

from indigoworks.consensus.append_handler import AppendHandler
from indigoworks.consensus.configurations import is_member
from indigoworks.consensus.election import Election
from indigoworks.consensus.leader_tenure import LeaderTenure
from indigoworks.consensus.refusal import other_group, unknown_request
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.task_set import TaskSet
from indigoworks.consensus.vote_handler import VoteHandler
from indigoworks.wire.control_pb2 import (
    Frame,
    IdentityReply,
    JoinReply,
    JoinRequest,
    TransferLeadershipReply,
    TransferLeadershipRequest,
)


class RequestDispatch:
    """Passes each request frame to its handler. No handler waits, so each is atomic."""

    def __init__(
        self,
        group_id: int,
        replica: Replica,
        votes: VoteHandler,
        appends: AppendHandler,
        election: Election,
        current_tenure: Callable[[], LeaderTenure | None],
        tasks: TaskSet,
    ) -> None:
        self._group_id = group_id
        self._replica = replica
        self._votes = votes
        self._appends = appends
        self._election = election
        self._current_tenure = current_tenure
        self._tasks = tasks

    def handle(self, frame: Frame) -> Frame:
        """Return the reply to a request frame."""
        if frame.group_id != self._group_id:
            return other_group(frame.group_id)
        match frame.WhichOneof("payload"):
            case "identity_request":
                return self._identity()
            case "vote_request":
                return self._votes.handle(frame.vote_request)
            case "append_request":
                return self._appends.handle_append(frame.append_request)
            case "snapshot_request":
                return self._appends.handle_snapshot(frame.snapshot_request)
            case "transfer_leadership_request":
                return self._take_over(frame.transfer_leadership_request)
            case "join_request":
                return self._join(frame.join_request)
            case other:
                return unknown_request(other or "")

    def _identity(self) -> Frame:
        replica = self._replica
        reply = IdentityReply(
            member=replica.member,
            generation=replica.generation,
            term=replica.term,
            last_log_index=replica.log.last_index,
            last_log_term=replica.log.last_term,
            ended_incarnations=sorted(replica.ended_incarnations),
        )
        leader = replica.leader
        if leader is not None:
            reply.leader.CopyFrom(leader)
            reply.leader_incarnation = leader.incarnation
        return Frame(identity_reply=reply)

    def _take_over(self, request: TransferLeadershipRequest) -> Frame:
        is_started = self._election.may_take_over(request)
        if is_started:
            self._tasks.start(self._election.take_over(request.term), "consensus:take_over")
        return Frame(transfer_leadership_reply=TransferLeadershipReply(is_started=is_started))

    def _join(self, request: JoinRequest) -> Frame:
        tenure = self._current_tenure()
        if tenure is None:
            return Frame(join_reply=JoinReply(is_accepted=False, leader=self._replica.leader))
        tenure.membership.request(request)
        replica = self._replica
        committed = replica.log.configuration_at(replica.commit_index)
        is_removed = request.is_leaving and not is_member(committed, request.member.incarnation)
        return Frame(join_reply=JoinReply(is_accepted=True, is_removed=is_removed))
