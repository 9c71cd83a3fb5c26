"""Administration API of a router: forwards every call to a controller."""

from eliot import log_message
from result import Err

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_response import AdminResponse
from indigoworks.admin.error_response import error_response
from indigoworks.admin.errors import AdminError, AdminOutcomeUnknown, NotLeader
from indigoworks.common.address import Address
from indigoworks.router.controller_directory import ControllerDirectory
from indigoworks.wire import control_pb2
from indigoworks.wire.errors import ConnectFailed, RefusedByPeer, WireError
from indigoworks.wire.rpc_client import RpcClient

ADMIN_TIMEOUT_S = 5.0
"""Timeout of one call to a controller; a settings change includes a write to the platform."""

ADMIN_RETRY_AFTER_S = 1.0
"""Retry-After of a call that no controller handled."""

SAFE_METHODS = frozenset({"GET", "HEAD"})
"""Methods that change nothing: after any failed call they are retried at the next controller,
but not after an unexpected reply."""


class ControllerAdministration:
    """Tries the controllers in the router's order; a controller forwards calls to the leader.

    A call that may change something is retried at another controller only if the previous one
    provably did not handle it.
    """

    def __init__(self, directory: ControllerDirectory, group_id: int = 0) -> None:
        self._directory = directory
        self._group_id = group_id
        self._clients: dict[Address, RpcClient] = {}

    async def handle(self, call: AdminCall) -> AdminResponse:
        """Answer `call`; errors are returned in the response."""
        for address in self._directory.candidates():
            answered = await self._client(address).call(_frame(call), ADMIN_TIMEOUT_S)
            if not isinstance(answered, Err):
                return _answer(answered.unwrap())
            error = answered.unwrap_err()
            log_message(
                message_type="router:admin_pass_failed", controller=str(address), kind=error.kind
            )
            if not self._may_ask_next(call, error):
                return error_response(_outcome_unknown())
        return error_response(_no_controller())

    def close(self) -> None:
        """Close the connections to the controllers."""
        for client in self._clients.values():
            client.close()

    def _may_ask_next(self, call: AdminCall, error: WireError) -> bool:
        is_not_handled = isinstance(error, ConnectFailed | RefusedByPeer)
        return is_not_handled or call.method in SAFE_METHODS

    def _client(self, address: Address) -> RpcClient:
        return self._clients.setdefault(address, RpcClient(address, self._group_id))


def _frame(call: AdminCall) -> control_pb2.Frame:
    request = control_pb2.AdminRequest(method=call.method, path=call.path, body=call.body)
    return control_pb2.Frame(admin_request=request)


def _answer(frame: control_pb2.Frame) -> AdminResponse:
    if frame.WhichOneof("payload") != "admin_reply":
        return error_response(_outcome_unknown())
    reply = frame.admin_reply
    return AdminResponse(reply.status, reply.body, reply.retry_after_s)


def _outcome_unknown() -> AdminError:
    return AdminOutcomeUnknown(
        "The controller did not answer; the call may have taken effect.",
        "Read the state, or ask for the progress of the change by its id.",
        ADMIN_RETRY_AFTER_S,
    )


def _no_controller() -> AdminError:
    return NotLeader(
        "No controller can be reached from this router; nothing took effect.",
        "Repeat the call after the time given, or at another router or controller.",
        ADMIN_RETRY_AFTER_S,
    )
