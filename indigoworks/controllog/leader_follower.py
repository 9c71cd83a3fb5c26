"""Following the leader over the wire."""

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.controllog.leader_lease_monitor import LeaderLeaseMonitor
from indigoworks.controllog.log_replica import LogReplica
from indigoworks.controllog.log_timing import LogTiming
from indigoworks.wire.control_pb2 import Configuration, FollowReply, FollowRequest, Frame, Member
from indigoworks.wire.rpc_client import RpcClient


class LeaderFollower:
    """Asks the leader for what is new, again and again.

    :ivar leader: the leader, while it answers.
    :ivar epoch: newest epoch that a leader told.
    :ivar members: controllers in touch with the leader, as it told last.
    """

    def __init__(
        self,
        member: Member,
        group_id: int,
        replica: LogReplica,
        watch: LeaderLeaseMonitor,
        clock: Clock,
        timing: LogTiming,
    ) -> None:
        self.leader: Member | None = None
        self.epoch = 0
        self.members = Configuration()
        self._member = member
        self._group_id = group_id
        self._replica = replica
        self._watch = watch
        self._clock = clock
        self._timing = timing

    async def follow(self, leader: Member) -> None:
        """Follow until the leader gives no answer or leads no more."""
        client = RpcClient(Address(leader.host, leader.control_port), self._group_id)
        try:
            while await self._ask(client, leader):
                self.leader = leader
        finally:
            self.leader = None
            client.close()

    async def _ask(self, client: RpcClient, leader: Member) -> bool:
        request = FollowRequest(
            member=self._member,
            leader_incarnation=leader.incarnation,
            generation=self._replica.generation,
            known_index=self._replica.index,
        )
        asked_at_s = self._clock.now()
        called = await client.call(Frame(follow_request=request), self._timing.call_timeout_s)
        if called.is_err():
            return False
        self._take(called.unwrap().follow_reply, asked_at_s)
        return True

    def _take(self, reply: FollowReply, asked_at_s: float) -> None:
        replica = self._replica
        if reply.HasField("snapshot"):
            replica.restore(reply.generation, reply.snapshot)
        replica.apply(reply.entries)
        if replica.index == reply.last_index:
            replica.batch = max(replica.batch, reply.last_batch)
        if replica.index >= reply.last_index:
            # The leader answered under its lease, after the question: nothing that was
            # acknowledged before the question is missing here.
            replica.confirm(asked_at_s)
        self.epoch = reply.epoch
        self.members = reply.members
        self._watch.record_version(reply.row_version)
