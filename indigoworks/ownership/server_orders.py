"""The port through which grants and releases reach servers."""

from collections.abc import Callable
from typing import Protocol

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome
from indigoworks.servers.server_notice import ServerNotice
from indigoworks.servers.server_record import ServerRecord

MaySend = Callable[[], bool]
"""Tells whether an order may still go out; its bytes follow without any wait in between."""

NoticeListener = Callable[[str, ServerNotice], None]
"""Takes the id of a server and what it asked for in an answer."""


class ServerOrders(Protocol):
    """Sends orders, each over a connection of its own, each at most once.

    Whoever sends waits for its turn and for a connection, and a process may stand still meanwhile:
    `may_send` is asked after all that. Where it says no the outcome is WITHHELD.
    """

    def add_notice_listener(self, listener: NoticeListener) -> None:
        """Tell `listener` what servers ask for in their answers to orders."""
        ...

    async def grant(
        self, server: ServerRecord, grant: KeyGrant, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Grant keys, or renew the same grant."""
        ...

    async def release(
        self, server: ServerRecord, release: KeyRelease, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Release keys; the answer comes when the work on them has ended."""
        ...
