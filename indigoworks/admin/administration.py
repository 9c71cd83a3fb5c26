"""The administration API, apart from its transport."""

from typing import Protocol

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_response import AdminResponse


class Administration(Protocol):
    """Answers administration requests, here or by passing them on."""

    async def handle(self, call: AdminCall) -> AdminResponse:
        """Answer `call`; errors are answers too."""
        ...
