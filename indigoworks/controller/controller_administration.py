"""Administration API on a controller: the leader handles requests, others forward them."""

from result import Result

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_response import AdminResponse
from indigoworks.admin.administration import Administration
from indigoworks.admin.error_response import error_response
from indigoworks.admin.errors import AdminOutcomeUnknown, NotLeader
from indigoworks.common.address import Address
from indigoworks.controller.retry_timing import LEADER_RETRY_AFTER_S
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.wire.control_pb2 import AdminReply, AdminRequest, Frame, Member
from indigoworks.wire.errors import ConnectFailed, RefusedByPeer, WireError
from indigoworks.wire.rpc_client import RpcClient

FORWARD_TIMEOUT_S = 10.0
"""Longest wait for the leader, which may first have to resolve a table write with a lost reply."""

MAX_HOPS = 2
"""Most times a request is forwarded: two controllers may each believe the other is the leader."""

LOCAL_PATHS = ("/admin/v1/health",)
"""Paths about this process only; never forwarded."""


class ControllerAdministration:
    """Implements Administration on any controller of the group."""

    def __init__(self, node: ControlLogNode, operations: Administration, own: Member) -> None:
        """Create the handler.

        :param operations: handles the requests that this controller answers itself.
        """
        self._node = node
        self._operations = operations
        self._own = own

    async def handle(self, call: AdminCall) -> AdminResponse:
        """Answer a request received over HTTP."""
        return await self._handle(call, hops=0)

    async def handle_frame(self, request: AdminRequest) -> Frame:
        """Answer a request forwarded by another process."""
        call = AdminCall(request.method, request.path, request.body)
        answer = await self._handle(call, request.hops)
        reply = AdminReply(
            status=answer.status, body=answer.body, retry_after_s=answer.retry_after_s
        )
        return Frame(admin_reply=reply)

    async def _handle(self, call: AdminCall, hops: int) -> AdminResponse:
        leader = self._node.status.leader
        is_own = leader is not None and leader.incarnation == self._own.incarnation
        if is_own or call.path.startswith(LOCAL_PATHS):
            return await self._operations.handle(call)
        if leader is not None and hops < MAX_HOPS:
            return await self._forward(call, leader, hops)
        if call.method == "GET":
            # Without a leader, reads return the state last applied on this controller.
            return await self._operations.handle(call)
        return error_response(_no_leader())

    async def _forward(self, call: AdminCall, leader: Member, hops: int) -> AdminResponse:
        client = RpcClient(Address(leader.host, leader.control_port))
        request = AdminRequest(method=call.method, path=call.path, body=call.body, hops=hops + 1)
        try:
            reply_result = await client.call(Frame(admin_request=request), FORWARD_TIMEOUT_S)
        finally:
            client.close()
        return _to_answer(reply_result)


def _to_answer(reply_result: Result[Frame, WireError]) -> AdminResponse:
    if reply_result.is_ok():
        reply = reply_result.unwrap().admin_reply
        return AdminResponse(reply.status, reply.body, reply.retry_after_s)
    if isinstance(reply_result.unwrap_err(), ConnectFailed | RefusedByPeer):
        return error_response(_no_leader())
    return error_response(
        AdminOutcomeUnknown(
            "The leader did not answer; the request may have taken effect.",
            "Read the state back before you send it again.",
            LEADER_RETRY_AFTER_S,
        )
    )


def _no_leader() -> NotLeader:
    return NotLeader(
        "No leader can be reached from this controller; nothing took effect.",
        "Send the request again after the time given.",
        LEADER_RETRY_AFTER_S,
    )
