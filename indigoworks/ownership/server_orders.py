"""The port through which grants and releases reach servers."""

from typing import Protocol

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome
from indigoworks.servers.server_record import ServerRecord


class ServerOrders(Protocol):
    """Sends orders, each over a connection of its own, each at most once."""

    async def grant(self, server: ServerRecord, grant: KeyGrant, timeout_s: float) -> OrderOutcome:
        """Grant keys, or renew the same grant."""
        ...

    async def release(
        self, server: ServerRecord, release: KeyRelease, timeout_s: float
    ) -> OrderOutcome:
        """Release keys; the answer comes when the work on them has ended."""
        ...
