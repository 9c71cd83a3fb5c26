"""Protocol of the objects that assign requests to servers."""

from typing import Protocol

from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_response import ServerResponse
from indigoworks.gateway.server_stats import RequestStart
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord

Placement = ServerRecord | Refusal


class Placer(Protocol):
    """Assigns each request to a server with capacity, or refuses it."""

    async def place(self, entry: WaitingRequest) -> Placement:
        """Return a server with capacity, or a refusal.

        After a placement the caller must call `release` when the request has ended. Cancelling
        withdraws the request.
        """
        ...

    def release(
        self, entry: WaitingRequest, started: RequestStart, answer: ServerResponse | None
    ) -> None:
        """Release the server of a request that was sent at `started`.

        :param answer: result of the attempt; None if the caller disconnected or it was not sent.
        """
        ...
