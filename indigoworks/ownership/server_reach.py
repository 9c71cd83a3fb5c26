"""Whether orders reach servers, as the leader sees it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import MAX_ORDER_DELAY_S
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.order_tracker import OrderTracker

LOST_AFTER_S = 0.4
"""A server loses its ranges when all orders to it have failed for this long."""

LOST_FAILURES = 2
"""And when this many orders in a row have failed."""


NOTICE_DELAY_S = 1.0
"""Longest time from the beginning of a silence until an order shows it."""

DOUBT_S = MAX_ORDER_DELAY_S
"""A server that left an order unanswered may do so again: it counts as doubtful for as long as it
may apply that order late."""


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
    """Silence of a server; only `probing_sender` sends it grants meanwhile (None: any keeper)."""

    noticed_s: float
    probing_sender: object = None


class ServerReach:
    """Tracks for each server, over all of its ranges, the orders that failed.

    An order fails if it is not sent, refused a connection, unanswered, or answered by another
    server. A server is suspect while its last order failed; doubtful also for DOUBT_S after an
    unanswered order; lost after LOST_FAILURES over LOST_AFTER_S; and silent from an unanswered
    order until it answers one.

    :ivar orders: logs orders that go unanswered; nothing is decided by it.
    :ivar on_answer: called when a server answers an order.
    :ivar on_failure: called with the id of a server to which no connection came about, and whether
        it was silent or refused.
    :ivar is_path_lost: returns whether no server is reached from here, so that the silence of one
        says nothing about it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.orders = OrderTracker(clock)
        self.on_answer: Callable[[], None] = _nothing
        self.on_failure: Callable[[str, bool], None] = _ignore_failure
        self.is_path_lost: Callable[[], bool] = lambda: False
        self._grant_locks: dict[str, asyncio.Lock] = {}
        self._failures: dict[str, int] = {}
        self._first_failure_s: dict[str, float] = {}
        self._unanswered_s: dict[str, float] = {}
        self._silence: dict[str, _Silence] = {}
        self._refused_since_s: dict[str, float] = {}
        self._last_silence_s: dict[str, float] = {}

    def grant_lock(self, server_id: str) -> asyncio.Lock:
        """Return the lock that serializes grants to a server.

        Conditions for sending a grant are checked while holding it, since a grant before it in the
        queue may wait for an answer for any time.
        """
        return self._grant_locks.setdefault(server_id, asyncio.Lock())

    def record_result(self, server_id: str, result: OrderResult, sender: object = None) -> None:
        """Record the result of an order; a withheld one says nothing about the server.

        :param sender: keeper of the granted range; None: the order was a release.
        """
        if result is OrderResult.WITHHELD:
            return
        self._record_silence(server_id, result, sender)
        self._record_refusal(server_id, result)
        if result.is_answer:
            self.on_answer()
        elif result is not OrderResult.UNANSWERED:
            # An order that stays unanswered was sent over a connection that had come about.
            self.on_failure(server_id, result is OrderResult.NOT_SENT)
        if result not in _FAILURES:
            if self._failures.pop(server_id, None) is not None:
                failed_s = self._clock.now() - self._first_failure_s.pop(server_id)
                self._log("reach:regained", server_id, result, round(failed_s, 3))
            return
        count = self._failures[server_id] = self._failures.get(server_id, 0) + 1
        self._first_failure_s.setdefault(server_id, self._clock.now())
        if count == 1:
            self._log("reach:failed", server_id, result, 0.0)

    def _record_silence(self, server_id: str, result: OrderResult, sender: object) -> None:
        if result is OrderResult.UNANSWERED:
            self._unanswered_s[server_id] = self._clock.now()
            silence = self._silence.setdefault(server_id, _Silence(self._clock.now()))
            silence.probing_sender = silence.probing_sender or sender
        elif result.is_answer and result is not OrderResult.OTHER_SERVER:
            self._end_silence(server_id)

    def _end_silence(self, server_id: str) -> None:
        silence = self._silence.pop(server_id, None)
        if silence is not None:
            noticed_ago_s = self._clock.now() - silence.noticed_s
            self._last_silence_s[server_id] = noticed_ago_s + NOTICE_DELAY_S

    def _record_refusal(self, server_id: str, result: OrderResult) -> None:
        if result is OrderResult.REFUSED_CONNECTION:
            self._refused_since_s.setdefault(server_id, self._clock.now())
        else:
            self._refused_since_s.pop(server_id, None)

    def mark_silent(self, server_id: str) -> None:
        """Record that a server left an order unanswered, a release or one of the predecessor."""
        self._silence.setdefault(server_id, _Silence(self._clock.now()))

    def silent_servers(self) -> tuple[str, ...]:
        """Return the servers that left an order unanswered and have not answered one since."""
        return tuple(self._silence)

    def may_grant(self, server_id: str, sender: object) -> bool:
        """Return whether a keeper may grant its range to a server now.

        While a server is silent, only one keeper resends its grant to probe it; no orders that it
        might apply late are sent for its other ranges.
        """
        silence = self._silence.get(server_id)
        return silence is None or silence.probing_sender in (None, sender)

    def forget_sender(self, server_id: str, sender: object) -> None:
        """Record that a keeper sends no more grants: another one may probe a silent server."""
        silence = self._silence.get(server_id)
        if silence is not None and silence.probing_sender is sender:
            silence.probing_sender = None

    def is_silent(self, server_id: str) -> bool:
        """Return whether the server left an order unanswered and has answered none since.

        Its process may be paused, with the order in its queue for any time. Failures to open
        further connections show nothing, since its accept queue may be full.
        """
        return server_id in self._silence

    def last_silence_s(self, server_id: str) -> float:
        """Return how long the server was last silent, before it answered again, in seconds.

        So much later than a server that runs it may have applied what waited in its queue.
        """
        return self._last_silence_s.get(server_id, 0.0)

    def refused_since_s(self, server_id: str) -> float | None:
        """Return since when the server's address refuses connections; None: it may accept them."""
        return self._refused_since_s.get(server_id)

    def suspect_servers(self) -> frozenset[str]:
        """Return the servers whose last order failed."""
        return frozenset(self._failures)

    def is_suspect(self, server_id: str) -> bool:
        """Return whether the last order to the server failed: it gets no further ranges."""
        return server_id in self._failures

    def is_doubtful(self, server_id: str) -> bool:
        """Return whether the server may leave the next order unanswered."""
        unanswered_s = self._unanswered_s.get(server_id, float("-inf"))
        return self.is_suspect(server_id) or self._clock.now() - unanswered_s < DOUBT_S

    def is_lost(self, server_id: str) -> bool:
        """Return whether the server is to lose its ranges."""
        if self.is_path_lost():
            return False
        if self._failures.get(server_id, 0) < LOST_FAILURES:
            return False
        return self._clock.now() - self._first_failure_s[server_id] >= LOST_AFTER_S

    def begin_term(self) -> None:
        """Count failures anew: those of an earlier term may have been this gateway's own fault.

        The servers stay suspect, so that they get no further ranges before they answer an order.
        """
        now_s = self._clock.now()
        self._failures = dict.fromkeys(self._failures, 1)
        self._first_failure_s = dict.fromkeys(self._first_failure_s, now_s)

    def forget_failures(self) -> None:
        """Drop the failures of orders: the path to all servers was lost, and is back."""
        self._failures.clear()
        self._first_failure_s.clear()

    def _log(self, message_type: str, server_id: str, result: OrderResult, age_s: float) -> None:
        log_message(
            message_type=message_type, server=server_id, result=result.value, failing_s=age_s
        )


def _nothing() -> None:
    """Default of a callback until it is set."""


def _ignore_failure(server_id: str, is_silent: bool) -> None:
    """Default of a callback until it is set."""
