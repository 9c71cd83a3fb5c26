"""Orders to simulated machines."""

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.server_orders import MaySend, NoticeListener
from indigoworks.servers.server_record import ServerRecord


class NoOrders:
    """Implements `ServerOrders` and sends nothing: `OwnerMoves` decides who owns what."""

    connections_opened = 0

    def add_notice_listener(self, listener: NoticeListener) -> None:
        """Tell nothing: these servers ask for nothing."""

    async def grant(
        self, server: ServerRecord, grant: KeyGrant, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Grant nothing."""
        return OrderOutcome(OrderResult.NOT_SENT)

    async def release(
        self, server: ServerRecord, release: KeyRelease, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Release nothing."""
        return OrderOutcome(OrderResult.NOT_SENT)
