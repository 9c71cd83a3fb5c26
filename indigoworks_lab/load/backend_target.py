"""Load directly to one back end."""

from http import HTTPStatus

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendUnreachable
from indigoworks.backend.http_backend_requests import HttpBackendRequests
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks_lab.load.answer_check import is_own_answer
from indigoworks_lab.load.direct_lease import WHOLE_SPACE
from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_request import LoadRequest

CONNECTIONS = 64
"""Below the 100 or so that a back end takes."""


class BackendTarget:
    """Sends requests to one server under the grant of a DirectLease."""

    def __init__(self, address: Address, status: BackendStatus, clock: Clock) -> None:
        self._address = address
        self._status = status
        self._requests = HttpBackendRequests(clock, CONNECTIONS)

    async def send(self, request: LoadRequest, timeout_s: float) -> LoadOutcome:
        """Send one request to the server; see LoadTarget.send."""
        sent = await self._requests.send(self._address, self._owned(request, timeout_s))
        if sent.is_ok():
            return _outcome(request, sent.unwrap())
        if isinstance(sent.unwrap_err(), BackendUnreachable):
            return LoadOutcome.UNREACHABLE
        return LoadOutcome.UNKNOWN

    def close(self) -> None:
        """Close the connections."""
        self._requests.close()

    def _owned(self, request: LoadRequest, timeout_s: float) -> OwnedRequest:
        return OwnedRequest(
            request_id=request.request_id,
            service=request.service,
            key=request.key.encode(),
            group=request.group,
            method=request.method,
            path=request.path,
            headers=(),
            body=request.body,
            range_start=WHOLE_SPACE.start,
            range_end=WHOLE_SPACE.end,
            token=WHOLE_SPACE.token,
            server_incarnation=self._status.incarnation,
            remaining_s=timeout_s,
        )


def _outcome(request: LoadRequest, answer: BackendResponse) -> LoadOutcome:
    if answer.is_wrong_owner or answer.is_shed:
        return LoadOutcome.NOT_RUN
    if answer.status == HTTPStatus.OK and is_own_answer(request, answer.body):
        return LoadOutcome.COMPLETED
    return LoadOutcome.WRONG_ANSWER
