"""Answers of the leader to those that follow it."""

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
    """Hands on what is committed, and knows who asked lately."""

    def __init__(
        self, member: Member, replica: LogReplica, clock: Clock, timing: LogTiming
    ) -> None:
        self._member = member
        self._replica = replica
        self._clock = clock
        self._timing = timing
        self._heard: dict[str, tuple[Member, float]] = {}

    async def answer(self, request: FollowRequest, tenure: LeaderTenure | None) -> Frame:
        """Answer once something newer is committed, or after the hold."""
        is_meant = request.leader_incarnation == self._member.incarnation
        if tenure is None or not is_meant or not tenure.holds_lease():
            return not_the_leader()
        self._heard[request.member.incarnation] = (request.member, self._clock.now())
        await self._wait_for_news(request, tenure)
        # Checked after the hold, in one step with the reading of the state.
        if not tenure.holds_lease():
            return not_the_leader()
        return Frame(follow_reply=self._reply(request, tenure))

    def members(self) -> Configuration:
        """Return this node and those that follow it."""
        oldest_s = self._clock.now() - self._timing.member_timeout_s
        self._heard = {key: heard for key, heard in self._heard.items() if heard[1] >= oldest_s}
        return Configuration(voters=[self._member, *(member for member, _ in self._heard.values())])

    async def _wait_for_news(self, request: FollowRequest, tenure: LeaderTenure) -> None:
        replica = self._replica
        if request.generation != replica.generation:
            return
        try:
            async with asyncio.timeout(self._timing.long_poll_s):
                # A follower that has read the store may be ahead of a leader that waits for it.
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
