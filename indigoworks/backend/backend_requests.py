"""Port to the request interface of the back ends."""

from typing import Protocol

from result import Result

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.errors import BackendError
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.address import Address


class BackendRequests(Protocol):
    """Sends requests to back ends. Nothing is retried here."""

    async def send(
        self, address: Address, request: OwnedRequest
    ) -> Result[BackendResponse, BackendError]:
        """Send one request and wait for its complete response, at most `remaining_s` seconds.

        :returns: BackendUnreachable only when no byte of the request reached the server;
            BackendAnswerLost when it may have run. Cancelling the call closes its connection,
            which cancels the request at the server.
        """
        ...
