"""A view follower that counts its traffic and shares its views."""

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.router.controller_directory import ControllerDirectory
from indigoworks.router.view_follower import MAX_STALENESS_S, ViewFollower
from indigoworks.wire.control_pb2 import Member, ViewReply, ViewRequest
from indigoworks.wire.rpc_client import RpcClient
from indigoworks_lab.scale.shared_views import SharedViews
from indigoworks_lab.scale.traffic_count import TrafficCount

ENVELOPE_BYTES = 14
"""Length, correlation id, flag and payload header of a frame; its payload is counted exactly."""


class HollowFollower(ViewFollower):
    """The product's follower: its long polls, its codec, its lease and its choice of controller."""

    def __init__(
        self,
        member: Member,
        directory: ControllerDirectory,
        clock: Clock,
        views: SharedViews,
        traffic: TrafficCount,
    ) -> None:
        super().__init__(member, directory, clock)
        self._views = views
        self._traffic = traffic

    async def _poll(self, client: RpcClient) -> bool:
        is_good = await super()._poll(client)
        if is_good:
            self._traffic.exchanges += 1
        else:
            self._traffic.failures += 1
        return is_good

    def _request(self, asked_at_s: float) -> ViewRequest:
        request = super()._request(asked_at_s)
        self._traffic.bytes_from_member += request.ByteSize() + ENVELOPE_BYTES
        return request

    def _take(self, reply: ViewReply, asked_at_s: float, address: Address) -> bool:
        self._count(reply)
        known = self.latest
        made = self._views.find(known, reply)
        if made is not None:
            self._needs_snapshot = False
            self._put_in_force(made, asked_at_s, reply.staleness_s)
            return reply.staleness_s <= MAX_STALENESS_S
        is_good = super()._take(reply, asked_at_s, address)
        if is_good and not self._needs_snapshot and self.latest is not None:
            self._views.keep(known, reply, self.latest)
        return is_good

    def _count(self, reply: ViewReply) -> None:
        size = reply.ByteSize() + ENVELOPE_BYTES
        self._traffic.bytes_to_member += size
        self._traffic.largest_answer = max(self._traffic.largest_answer, size)
        if reply.HasField("snapshot"):
            self._traffic.snapshots += 1
        if reply.HasField("delta"):
            self._traffic.deltas += 1
