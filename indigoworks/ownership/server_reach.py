"""Whether orders reach servers, as the leader sees it."""

import asyncio
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import MAX_ORDER_DELAY_S
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.order_tracker import OrderTracker

LOST_S = 0.4
"""A server that no order has reached for so long since the first failure is to lose its ranges."""

LOST_FAILURES = 2
"""And so many orders in a row must have failed."""


DOUBT_S = MAX_ORDER_DELAY_S
"""A server that left an order unanswered may do so again: it is doubted for as long as it may take
that one late."""


_FAILURES = frozenset(
    {
        OrderResult.NOT_SENT,
        OrderResult.REFUSED_CONNECTION,
        OrderResult.UNANSWERED,
        OrderResult.OTHER_SERVER,
    }
)


@dataclass(slots=True)
class _Silence:
    """Time since an order was left unanswered; `asker` sends the only grant meanwhile."""

    asker: object = None


class ServerReach:
    """Orders in a row that did not reach a server, over all of its ranges.

    :ivar orders: tells the log of orders that go unanswered; nothing is decided by it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.orders = OrderTracker(clock)
        self._lines: dict[str, asyncio.Lock] = {}
        self._failures: dict[str, int] = {}
        self._first_failure_s: dict[str, float] = {}
        self._unanswered_s: dict[str, float] = {}
        self._silence: dict[str, _Silence] = {}
        self._refused_since_s: dict[str, float] = {}

    def grant_lock(self, server_id: str) -> asyncio.Lock:
        """Return the lock under which grants to a server go, one after the other.

        What must hold when a grant is sent is looked at under it: a server that does not answer
        holds the others up for as long as it likes.
        """
        return self._lines.setdefault(server_id, asyncio.Lock())

    def record_result(self, server_id: str, result: OrderResult, sender: object = None) -> None:
        """Take the result of an order; one that was withheld says nothing of the server.

        :param sender: keeper of the range that was granted; None: the order was a release.
        """
        if result is OrderResult.WITHHELD:
            return
        self._note_silence(server_id, result, sender)
        self._note_refusal(server_id, result)
        if result not in _FAILURES:
            if self._failures.pop(server_id, None) is not None:
                failed_s = self._clock.now() - self._first_failure_s.pop(server_id)
                self._log("reach:regained", server_id, result, round(failed_s, 3))
            return
        count = self._failures[server_id] = self._failures.get(server_id, 0) + 1
        self._first_failure_s.setdefault(server_id, self._clock.now())
        if count == 1:
            self._log("reach:failed", server_id, result, 0.0)

    def _note_silence(self, server_id: str, result: OrderResult, sender: object) -> None:
        if result is OrderResult.UNANSWERED:
            self._unanswered_s[server_id] = self._clock.now()
            silence = self._silence.setdefault(server_id, _Silence())
            silence.asker = silence.asker or sender
        elif result.is_answer and result is not OrderResult.OTHER_SERVER:
            self._silence.pop(server_id, None)

    def _note_refusal(self, server_id: str, result: OrderResult) -> None:
        if result is OrderResult.REFUSED_CONNECTION:
            self._refused_since_s.setdefault(server_id, self._clock.now())
        else:
            self._refused_since_s.pop(server_id, None)

    def mark_silent(self, server_id: str) -> None:
        """Take note that a server has not answered a release yet."""
        self._silence.setdefault(server_id, _Silence())

    def silent_servers(self) -> tuple[str, ...]:
        """Return the servers that left an order unanswered and have not answered since."""
        return tuple(self._silence)

    def may_grant(self, server_id: str, sender: object) -> bool:
        """Tell whether a keeper may grant its range to a server now.

        While a server leaves an order unanswered the same one alone is sent again, to see whether
        it answers: its other ranges are left without an order that it might take late.
        """
        silence = self._silence.get(server_id)
        return silence is None or silence.asker in (None, sender)

    def forget_sender(self, server_id: str, sender: object) -> None:
        """Take note that a keeper grants no more: another one may ask a silent server."""
        silence = self._silence.get(server_id)
        if silence is not None and silence.asker is sender:
            silence.asker = None

    def is_silent(self, server_id: str) -> bool:
        """Tell whether the server took an order's bytes, and has answered no order since.

        Its process may stand still: what it was sent waits for it, for however long. That further
        connections do not come about says nothing: its queue may be full.
        """
        return server_id in self._silence

    def refused_since_s(self, server_id: str) -> float | None:
        """Return since when nobody listens at the server's address; None: somebody may."""
        return self._refused_since_s.get(server_id)

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
