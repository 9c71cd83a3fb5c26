"""The read-only administration API of a gateway, over HTTP."""

from tornado.httputil import HTTPServerRequest

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_operations import AdminOperations
from indigoworks.admin.control_plane import OwnershipPlane
from indigoworks.admin.ownership_operations import OwnershipOperations
from indigoworks.gateway.client_response import ClientResponse

JSON = ("Content-Type", "application/json; charset=utf-8")


async def answer_administration(
    plane: OwnershipPlane, request: HTTPServerRequest
) -> ClientResponse:
    """Answer a request below /admin/v1; errors become responses as well (docs/API.md)."""
    operations = AdminOperations(OwnershipOperations(plane))
    call = AdminCall(request.method or "", request.uri or "", request.body)
    answer = await operations.handle(call)
    return ClientResponse(answer.status, (JSON,), answer.body)
