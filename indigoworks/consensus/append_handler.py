"""Answers of a follower to its leader."""

from indigoworks.common.clock import Clock
from indigoworks.consensus.refusal import older_generation, other_incarnation, withdrawn
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.replicated_log import ReplicatedLog
from indigoworks.wire.control_pb2 import (
    AppendReply,
    AppendRequest,
    Frame,
    SnapshotReply,
    SnapshotRequest,
)


class AppendHandler:
    """Takes entries and snapshots of the leader."""

    def __init__(self, replica: Replica, clock: Clock) -> None:
        self._replica = replica
        self._clock = clock

    def handle_append(self, request: AppendRequest) -> Frame:
        """Return the reply to entries or a heartbeat."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        replica = self._replica
        if request.term < replica.term:
            return self._append_reply(is_success=False, match_index=0)
        replica.follow(request.leader, request.term)
        if not self._matches(request):
            # All up to the commit index stands in the leader's log too: it can go on from there.
            return self._append_reply(is_success=False, match_index=replica.commit_index)
        replica.log.merge(request.entries)
        match_index = request.previous_index + len(request.entries)
        replica.advance_commit(min(request.commit_index, match_index))
        if request.has_quorum_lease and replica.commit_index >= request.commit_index:
            self._confirm(request)
        return self._append_reply(is_success=True, match_index=match_index)

    def handle_snapshot(self, request: SnapshotRequest) -> Frame:
        """Return the reply to a snapshot."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        replica = self._replica
        if request.term < replica.term:
            return self._snapshot_reply(is_success=False)
        replica.follow(request.leader, request.term)
        # A delayed snapshot must not undo what was applied since.
        if request.last_index > replica.commit_index:
            log = ReplicatedLog(request.last_index, request.last_term, request.configuration)
            replica.install(log, request.state)
        return self._snapshot_reply(is_success=True)

    def _refusal(self, request: AppendRequest | SnapshotRequest) -> Frame | None:
        replica = self._replica
        if request.follower_incarnation != replica.member.incarnation:
            return other_incarnation()
        if request.generation < replica.generation:
            return older_generation(replica.generation)
        if request.generation > replica.generation:
            replica.adopt_generation(request.generation)
        return withdrawn() if replica.has_withdrawn else None

    def _matches(self, request: AppendRequest) -> bool:
        log = self._replica.log
        if not self._replica.is_initialised:
            return False
        if request.previous_index < log.base_index:
            # The base is committed, so the leader's log holds the same up to there.
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _confirm(self, request: AppendRequest) -> None:
        # The echoed reading was taken before the leader sent its commit index under its lease, so
        # the state that is applied now held everything committed at that reading.
        if request.echoed_clock_s:
            self._replica.confirm(request.echoed_clock_s)

    def _append_reply(self, is_success: bool, match_index: int) -> Frame:
        return Frame(
            append_reply=AppendReply(
                term=self._replica.term,
                is_success=is_success,
                match_index=match_index,
                clock_s=self._clock.now(),
            )
        )

    def _snapshot_reply(self, is_success: bool) -> Frame:
        return Frame(snapshot_reply=SnapshotReply(term=self._replica.term, is_success=is_success))
