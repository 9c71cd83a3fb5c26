"""Where callers send their requests."""

from typing import Protocol

from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import CallerResponse


class RequestEntry(Protocol):
    """A router of the product or of a baseline."""

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer one request of a caller. Cancelling means that the caller went away."""
        ...
