"""Server orders with metrics."""

from indigoworks.common.clock import Clock
from indigoworks.common.metrics import Metrics
from indigoworks.gateway.call_metrics import CallMetrics
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome
from indigoworks.ownership.server_orders import MaySend, NoticeListener, ServerOrders
from indigoworks.servers.server_record import ServerRecord


class InstrumentedOrders:
    """Forwards orders to `orders`, and records count and duration; implements `ServerOrders`.

    The outcome label is the order's result.
    """

    def __init__(self, orders: ServerOrders, metrics: Metrics, clock: Clock) -> None:
        self._orders = orders
        self._calls = CallMetrics(metrics, clock, "gateway_order", "Orders to servers", "order")

    @property
    def connections_opened(self) -> int:
        """Return the number of connections opened so far, failed ones included."""
        return self._orders.connections_opened

    def add_notice_listener(self, listener: NoticeListener) -> None:
        """Call `listener` with the notices in servers' answers to orders."""
        self._orders.add_notice_listener(listener)

    async def grant(
        self, server: ServerRecord, grant: KeyGrant, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Grant keys, or renew the same grant."""
        answer = self._orders.grant(server, grant, timeout_s, may_send)
        return await self._calls.observe("grant", answer, _outcome)

    async def release(
        self, server: ServerRecord, release: KeyRelease, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Release keys; the outcome arrives when the work on them has ended."""
        answer = self._orders.release(server, release, timeout_s, may_send)
        return await self._calls.observe("release", answer, _outcome)


def _outcome(outcome: OrderOutcome) -> str:
    return outcome.result.value
