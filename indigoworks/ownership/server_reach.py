"""Whether orders reach servers, as the leader sees it."""

import asyncio

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import LATE_ORDER_S
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.order_watch import OrderWatch

LOST_S = 0.4
"""A server that no order has reached for so long since the first failure is to lose its ranges."""

LOST_FAILURES = 2
"""And so many orders in a row must have failed."""


DOUBT_S = LATE_ORDER_S
"""A server that left an order unanswered may do so again: it is doubted for as long as it may take
that one late."""


class ServerReach:
    """Orders in a row that did not reach a server, over all of its ranges.

    :ivar orders: tells the log of orders that go unanswered; nothing is decided by it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.orders = OrderWatch(clock)
        self._lines: dict[str, asyncio.Lock] = {}
        self._failures: dict[str, int] = {}
        self._first_failure_s: dict[str, float] = {}
        self._unanswered_s: dict[str, float] = {}

    def line(self, server_id: str) -> asyncio.Lock:
        """Return the lock under which grants to a server go, one after the other.

        What must hold when a grant is sent is looked at under it: a server that does not answer
        holds the others up for as long as it likes.
        """
        return self._lines.setdefault(server_id, asyncio.Lock())

    def note(self, server_id: str, result: OrderResult) -> None:
        """Take the result of an order; one that was withheld says nothing of the server."""
        if result is OrderResult.WITHHELD:
            return
        if result is OrderResult.UNANSWERED:
            self._unanswered_s[server_id] = self._clock.now()
        if result not in (OrderResult.NOT_SENT, OrderResult.UNANSWERED, OrderResult.OTHER_SERVER):
            if self._failures.pop(server_id, None) is not None:
                failed_s = self._clock.now() - self._first_failure_s.pop(server_id)
                self._log("reach:regained", server_id, result, round(failed_s, 3))
            return
        count = self._failures[server_id] = self._failures.get(server_id, 0) + 1
        self._first_failure_s.setdefault(server_id, self._clock.now())
        if count == 1:
            self._log("reach:failed", server_id, result, 0.0)

    def is_suspect(self, server_id: str) -> bool:
        """Tell whether the last order did not reach the server: it gets no further ranges."""
        return server_id in self._failures

    def is_doubtful(self, server_id: str) -> bool:
        """Tell whether the server may leave the next order unanswered."""
        unanswered_s = self._unanswered_s.get(server_id, float("-inf"))
        return self.is_suspect(server_id) or self._clock.now() - unanswered_s < DOUBT_S

    def is_lost(self, server_id: str) -> bool:
        """Tell whether the server is to lose its ranges."""
        if self._failures.get(server_id, 0) < LOST_FAILURES:
            return False
        return self._clock.now() - self._first_failure_s[server_id] >= LOST_S

    def _log(self, message_type: str, server_id: str, result: OrderResult, age_s: float) -> None:
        log_message(
            message_type=message_type, server=server_id, result=result.value, failing_s=age_s
        )
