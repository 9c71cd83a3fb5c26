"""Health of the row store as this process sees it."""

import math
from collections import deque

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.rowstore.clock_offset import ClockOffset
from indigoworks.rowstore.store_eras import StoreEras
from indigoworks.rowstore.store_trouble import StoreTrouble

MS_PER_S = 1000.0

MAX_KEPT_TROUBLES = 200

SAME_TROUBLE_S = 0.2
"""Largest shift by which the same trouble may be reported again, due to the response's delay."""


class StoreHealth:
    """Newest proof that known rows are current, and recent trouble of the store.

    The proof is the time at which the newest response was certainly made. A feed's response may
    arrive long after its request. The store's monotonic clock, which each response contains, shows
    when it was made: not before the store's time plus the least possible offset between our clock
    and the store's (`ClockOffset`).

    :ivar eras: era of the store; its clock may jump when an era begins.
    """

    def __init__(self, clock: Clock) -> None:
        self.eras = StoreEras()
        self.eras.on_new(self._begin_era)
        self._clock = clock
        self._offset = ClockOffset()
        self._proof_s: float | None = None
        self._lost_since_s: float | None = None
        self._last_trouble_s: float | None = None
        self._troubles: deque[StoreTrouble] = deque(maxlen=MAX_KEPT_TROUBLES)

    def record_response(self, sent_s: float, store_time_s: float) -> float:
        """Record a response to a request that was sent at `sent_s`.

        :param store_time_s: reading of the store's monotonic clock in the response.
        :returns: the clock reading at which this response was certainly true.
        """
        self.eras.record_era(self.eras.current)
        # The time of the headers cannot serve as time of receipt: a store may send them before
        # it reads its clock.
        now_s = self._clock.now()
        self._offset.record_reading(sent_s, now_s, store_time_s)
        low_s = self._offset.low_s(now_s)
        as_of_s = sent_s if low_s is None else max(sent_s, store_time_s + low_s)
        as_of_s = min(as_of_s, now_s)
        if self._proof_s is None or as_of_s > self._proof_s:
            self._proof_s = as_of_s
        if self._lost_since_s is not None:
            self._lost_since_s = None
            log_message(message_type="store:regained", trouble_age_s=self.trouble_age_s())
        return as_of_s

    def _begin_era(self) -> None:
        """Discard the clock offset; missing entries of the copy count as trouble."""
        self._offset.forget()
        self._append(StoreTrouble(self._clock.now()))

    def record_relayed(self, proof_s: float, trouble_s: float) -> None:
        """Record what a relay reports of its own responses from the store and its trouble.

        :param proof_s: clock reading of its newest response.
        :param trouble_s: clock reading of its last trouble; minus infinity: it had none.
        """
        if self._proof_s is None or proof_s > self._proof_s:
            self._proof_s = proof_s
        last_s = float("-inf") if self._last_trouble_s is None else self._last_trouble_s
        if trouble_s > last_s + SAME_TROUBLE_S:
            self._append(StoreTrouble(trouble_s, reported_s=self._clock.now()))

    def record_trouble(self, call: str, reason: str, at_s: float | None = None) -> None:
        """Record that a call failed, was refused, or got a late response.

        :param at_s: clock reading when a late response began to arrive: its last byte may arrive
            much later, after other trouble; None: now.
        """
        self._append(StoreTrouble(self._clock.now() if at_s is None else at_s))
        # The outage does not begin at `at_s`: the store may have responded since then.
        if self._lost_since_s is None:
            self._lost_since_s = self._clock.now()
            log_message(
                message_type="store:lost",
                level="WARNING",
                call=call,
                reason=reason,
                proof_age_s=round(min(self.proof_age_s(), 1e6), 3),
            )

    def _append(self, trouble: StoreTrouble) -> None:
        self._troubles.append(trouble)
        if self._last_trouble_s is None or trouble.at_s > self._last_trouble_s:
            self._last_trouble_s = trouble.at_s

    def lost_for_s(self) -> float:
        """Return the seconds without a response of the store itself since trouble began; 0: none.

        Responses of relays do not count. A response counts only once it is complete: a bad path may
        deliver the beginning of each and the end of none.
        """
        return 0.0 if self._lost_since_s is None else self._clock.now() - self._lost_since_s

    @property
    def last_trouble_s(self) -> float | None:
        """Return the clock reading of the last trouble; None: there was none."""
        return self._last_trouble_s

    def last_trouble_before(self, at_s: float, reported_by_s: float) -> float | None:
        """Return the clock reading of the last trouble up to `at_s`; None: none is recorded.

        :param reported_by_s: trouble that another gateway reported later does not count.
        """
        return max(
            (
                each.at_s
                for each in self._troubles
                if each.at_s <= at_s
                and (each.reported_s is None or each.reported_s <= reported_by_s)
            ),
            default=None,
        )

    def proof_age_s(self) -> float:
        """Return the age of the newest response in seconds; infinity before the first one."""
        if self._proof_s is None:
            return float("inf")
        return self._clock.now() - self._proof_s

    def to_store_ms(self, at_s: float) -> int:
        """Return a reading of the store's clock not before `at_s` on our clock; 0: unknown.

        A jump of either clock invalidates it, so it must not decide which server holds a key.
        """
        low_s = self._offset.low_s(self._clock.now())
        return 0 if low_s is None else max(1, math.ceil((at_s - low_s) * MS_PER_S))

    def to_store_s(self, at_s: float) -> float:
        """Return the approximate reading of the store's clock at `at_s` on our clock; `at_s` if the
        offset is unknown."""
        low_s = self._offset.low_s(self._clock.now())
        return at_s if low_s is None else at_s - low_s

    def is_past(self, store_ms: int) -> bool:
        """Return whether the store's clock has passed a reading, unless a clock jumped since."""
        now_s = self._clock.now()
        high_s = self._offset.high_s(now_s)
        return high_s is not None and now_s > store_ms / MS_PER_S + high_s

    def trouble_age_s(self) -> float | None:
        """Return the seconds since the last trouble; None: there was none."""
        last_s = self.last_trouble_s
        return None if last_s is None else round(self._clock.now() - last_s, 3)
