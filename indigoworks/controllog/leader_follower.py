"""Follows the leader over the network."""

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.controllog.leader_lease_monitor import LeaderLeaseMonitor
from indigoworks.controllog.log_replica import LogReplica
from indigoworks.controllog.log_timing import LogTiming
from indigoworks.wire.control_pb2 import Configuration, FollowReply, FollowRequest, Frame, Member
from indigoworks.wire.rpc_client import RpcClient


class LeaderFollower:
    """Polls the leader for new commits.

    :ivar leader: the leader, while it responds.
    :ivar epoch: newest epoch that a leader reported.
    :ivar members: controllers connected to the leader, as it last reported.
    """

    def __init__(
        self,
        member: Member,
        group_id: int,
        replica: LogReplica,
        lease_monitor: LeaderLeaseMonitor,
        clock: Clock,
        timing: LogTiming,
    ) -> None:
        self.leader: Member | None = None
        self.epoch = 0
        self.members = Configuration()
        self._member = member
        self._group_id = group_id
        self._replica = replica
        self._lease_monitor = lease_monitor
        self._clock = clock
        self._timing = timing

    async def follow(self, leader: Member) -> None:
        """Follow until the leader does not respond or no longer leads."""
        client = RpcClient(Address(leader.host, leader.control_port), self._group_id)
        try:
            while await self._poll(client, leader):
                self.leader = leader
        finally:
            self.leader = None
            client.close()

    async def _poll(self, client: RpcClient, leader: Member) -> bool:
        request = FollowRequest(
            member=self._member,
            leader_incarnation=leader.incarnation,
            generation=self._replica.generation,
            known_index=self._replica.index,
        )
        sent_at_s = self._clock.now()
        result = await client.call(Frame(follow_request=request), self._timing.call_timeout_s)
        if result.is_err():
            return False
        self._apply(result.unwrap().follow_reply, sent_at_s)
        return True

    def _apply(self, reply: FollowReply, sent_at_s: float) -> None:
        replica = self._replica
        if reply.HasField("snapshot"):
            replica.restore(reply.generation, reply.snapshot)
        replica.apply(reply.entries)
        if replica.index == reply.last_index:
            replica.batch = max(replica.batch, reply.last_batch)
        if replica.index >= reply.last_index:
            # The leader responded with a valid lease, after the request was sent: no commit
            # acknowledged before that is missing here.
            replica.confirm(sent_at_s)
        self.epoch = reply.epoch
        self.members = reply.members
        self._lease_monitor.record_version(reply.row_version)
