"""The port through which grants and releases are sent to servers.

An order is a grant (hold these keys for some seconds) or a release (give these keys up).
"""

from collections.abc import Callable
from typing import Protocol

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome
from indigoworks.servers.server_notice import ServerNotice
from indigoworks.servers.server_record import ServerRecord

MaySend = Callable[[], bool]
"""Returns whether an order may still be sent; its bytes are written without awaiting in between."""

NoticeListener = Callable[[str, ServerNotice], None]
"""Called with the id of a server and what it asked for in an answer."""


class ServerOrders(Protocol):
    """Sends orders, each on its own connection and at most once.

    A sender waits for its turn and for a connection, and its process may be paused meanwhile:
    `may_send` is called after all that. If it returns False, the outcome is WITHHELD.
    """

    @property
    def connections_opened(self) -> int:
        """Return the number of connections opened so far, failed ones included."""
        ...

    def add_notice_listener(self, listener: NoticeListener) -> None:
        """Call `listener` with what servers ask for in their answers to orders."""
        ...

    async def grant(
        self, server: ServerRecord, grant: KeyGrant, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Grant keys, or renew the same grant."""
        ...

    async def release(
        self, server: ServerRecord, release: KeyRelease, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Release keys; the server answers when it has finished its work on them."""
        ...
