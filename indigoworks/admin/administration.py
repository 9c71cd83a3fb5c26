"""The administration API, apart from its transport."""

from typing import Protocol

from indigoworks.admin.admin_answer import AdminAnswer
from indigoworks.admin.admin_call import AdminCall


class Administration(Protocol):
    """Answers administration requests, here or by passing them on."""

    async def handle(self, call: AdminCall) -> AdminAnswer:
        """Answer `call`; errors are answers too."""
        ...
