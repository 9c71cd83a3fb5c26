"""Interface of the administration API, independent of the transport."""

from typing import Protocol

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_response import AdminResponse


class Administration(Protocol):
    """Handles administration requests, locally or by forwarding them."""

    async def handle(self, call: AdminCall) -> AdminResponse:
        """Return the response to `call`; errors are returned as responses too."""
        ...
