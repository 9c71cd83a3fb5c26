"""Service of the leader for its followers."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.controllog.leader_tenure import LeaderTenure
from indigoworks.controllog.log_replica import LogReplica
from indigoworks.controllog.log_timing import LogTiming
from indigoworks.controllog.refusal import not_the_leader
from indigoworks.wire.control_pb2 import (
    Configuration,
    FollowReply,
    FollowRequest,
    Frame,
    Member,
    Snapshot,
)


class FollowService:
    """Sends committed entries to followers, and tracks which followers are live."""

    def __init__(
        self, member: Member, replica: LogReplica, clock: Clock, timing: LogTiming
    ) -> None:
        self._member = member
        self._replica = replica
        self._clock = clock
        self._timing = timing
        self._followers: dict[str, tuple[Member, float]] = {}

    async def respond(self, request: FollowRequest, tenure: LeaderTenure | None) -> Frame:
        """Respond once there are newer commits, or after the long poll's time."""
        is_for_this_run = request.leader_incarnation == self._member.incarnation
        if tenure is None or not is_for_this_run or not tenure.holds_lease():
            return not_the_leader()
        self._followers[request.member.incarnation] = (request.member, self._clock.now())
        await self._wait_for_commits(request, tenure)
        # Checked after the wait, without a task switch before the state is read.
        if not tenure.holds_lease():
            return not_the_leader()
        return Frame(follow_reply=self._reply(request, tenure))

    def members(self) -> Configuration:
        """Return this node and its live followers."""
        earliest_s = self._clock.now() - self._timing.member_timeout_s
        self._followers = {
            key: follower for key, follower in self._followers.items() if follower[1] >= earliest_s
        }
        return Configuration(
            voters=[self._member, *(member for member, _ in self._followers.values())]
        )

    async def _wait_for_commits(self, request: FollowRequest, tenure: LeaderTenure) -> None:
        replica = self._replica
        if request.generation != replica.generation:
            return
        try:
            async with asyncio.timeout(self._timing.long_poll_s):
                # A follower that has read the store may be ahead of a leader with a pending write.
                while replica.index <= request.known_index and tenure.is_running():
                    await replica.changed.wait()
        except TimeoutError:
            return

    def _reply(self, request: FollowRequest, tenure: LeaderTenure) -> FollowReply:
        replica = self._replica
        reply = FollowReply(
            epoch=tenure.epoch,
            generation=replica.generation,
            last_index=replica.index,
            last_batch=replica.batch,
            members=self.members(),
            row_version=tenure.version,
        )
        is_known = request.generation == replica.generation
        entries = replica.entries_after(request.known_index) if is_known else None
        if entries is None:
            snapshot = Snapshot(last_index=replica.index, state=replica.state.snapshot())
            reply.snapshot.CopyFrom(snapshot)
            return reply
        size = 0
        for entry in entries:
            reply.entries.append(entry)
            size += entry.ByteSize()
            if size > self._timing.reply_bytes:
                break
        return reply
