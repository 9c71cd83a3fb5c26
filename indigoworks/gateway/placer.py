"""What finds a place at a server for each request."""

from typing import Protocol

from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_response import ServerResponse
from indigoworks.gateway.server_stats import RequestStart
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord

Placement = ServerRecord | Refusal


class Placer(Protocol):
    """Gives each request a server with room, or says why there is none."""

    async def place(self, entry: WaitingRequest) -> Placement:
        """Return a server with room, or why there is none.

        Whoever gets a server calls `release` when the request has left it. Cancelling withdraws
        the request.
        """
        ...

    def release(
        self, entry: WaitingRequest, started: RequestStart, answer: ServerResponse | None
    ) -> None:
        """Take back the place of a request, which it has had since `started`.

        :param answer: what came of it; None: its caller left.
        """
        ...
