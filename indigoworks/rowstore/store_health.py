"""How well the row store answers this process."""

import math
from collections import deque

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.rowstore.clock_offset import ClockOffset
from indigoworks.rowstore.store_eras import StoreEras
from indigoworks.rowstore.store_trouble import StoreTrouble

MS_PER_S = 1000.0

REMEMBERED_TROUBLES = 200

SAME_TROUBLE_S = 0.2
"""A trouble that is told again is placed up to so much later by the way of the answer."""


class StoreHealth:
    """Newest proof of what the store held, and the last trouble.

    A feed's answer may come long after its question. The store's own steady clock, which each
    answer names, tells when it was made: not earlier than the store's time plus the least possible
    difference between our clock and the store's (`ClockOffset`).

    :ivar eras: in which era the store is; the reading of its clock may jump where one begins.
    """

    def __init__(self, clock: Clock) -> None:
        self.eras = StoreEras()
        self.eras.on_new(self._begin_era)
        self._clock = clock
        self._offset = ClockOffset()
        self._proof_s: float | None = None
        self._lost_since_s: float | None = None
        self._last_trouble_s: float | None = None
        self._troubles: deque[StoreTrouble] = deque(maxlen=REMEMBERED_TROUBLES)

    def record_response(self, sent_s: float, store_time_s: float) -> float:
        """Take note of an answer to a question that was sent at `sent_s`.

        :param store_time_s: reading of the store's steady clock in the answer.
        :returns: the clock reading at which this answer was certainly true.
        """
        self.eras.record_era(self.eras.current)
        # The moment of the headers would not do for the receipt: a store may send them before it
        # reads its clock.
        now_s = self._clock.now()
        self._offset.record_reading(sent_s, now_s, store_time_s)
        low_s = self._offset.low_s(now_s)
        true_at_s = sent_s if low_s is None else max(sent_s, store_time_s + low_s)
        true_at_s = min(true_at_s, now_s)
        if self._proof_s is None or true_at_s > self._proof_s:
            self._proof_s = true_at_s
        if self._lost_since_s is not None:
            self._lost_since_s = None
            log_message(message_type="store:regained", trouble_age_s=self.trouble_age_s())
        return true_at_s

    def _begin_era(self) -> None:
        """Forget how the store's clock stood to ours; entries may be missing from the copy."""
        self._offset.forget()
        self._append(StoreTrouble(self._clock.now()))

    def record_relayed(self, proof_s: float, trouble_s: float) -> None:
        """Take what another gateway says of its own answers and troubles.

        :param proof_s: clock reading of its newest answer.
        :param trouble_s: clock reading of its last trouble; minus infinity: it had none.
        """
        if self._proof_s is None or proof_s > self._proof_s:
            self._proof_s = proof_s
        last_s = float("-inf") if self._last_trouble_s is None else self._last_trouble_s
        if trouble_s > last_s + SAME_TROUBLE_S:
            self._append(StoreTrouble(trouble_s, reported_s=self._clock.now()))

    def record_trouble(self, call: str, reason: str, at_s: float | None = None) -> None:
        """Take note that a call was not answered, refused, or answered late.

        :param at_s: clock reading when a late answer began to come: its last byte may come much
            later, and meanwhile there may have been another trouble; None: now.
        """
        self._append(StoreTrouble(self._clock.now() if at_s is None else at_s))
        # Not from `at_s` on: the store has answered since.
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
        """Return for how long the store has not answered this process itself after a trouble.

        What other gateways hand on does not count as its answer; 0: it has answered since. An
        answer counts once it is whole: a path may carry the beginning of each and the end of none.
        """
        return 0.0 if self._lost_since_s is None else self._clock.now() - self._lost_since_s

    @property
    def last_trouble_s(self) -> float | None:
        """Return the clock reading of the last trouble; None: there was none."""
        return self._last_trouble_s

    def last_trouble_before(self, at_s: float, reported_by_s: float) -> float | None:
        """Return the clock reading of the last trouble up to `at_s`; None: none is remembered.

        :param told_by_s: troubles of which another gateway told later than that do not count.
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
        """Return the age of the newest answer, in seconds; infinity before the first one."""
        if self._proof_s is None:
            return float("inf")
        return self._clock.now() - self._proof_s

    def to_store_ms(self, at_s: float) -> int:
        """Return a reading of the store's clock that is not before `at_s` on ours; 0: unknown.

        A jump of either clock makes it worthless: it must not decide who holds a key.
        """
        low_s = self._offset.low_s(self._clock.now())
        return 0 if low_s is None else max(1, math.ceil((at_s - low_s) * MS_PER_S))

    def to_store_s(self, at_s: float) -> float:
        """Return the reading of the store's clock at `at_s` on ours, about; ours where the store's
        is unknown."""
        low_s = self._offset.low_s(self._clock.now())
        return at_s if low_s is None else at_s - low_s

    def is_past(self, store_ms: int) -> bool:
        """Tell whether the store's clock has passed a reading, unless a clock has jumped since."""
        now_s = self._clock.now()
        high_s = self._offset.high_s(now_s)
        return high_s is not None and now_s > store_ms / MS_PER_S + high_s

    def trouble_age_s(self) -> float | None:
        """Return the seconds since the last trouble; None: there was none."""
        last_s = self.last_trouble_s
        return None if last_s is None else round(self._clock.now() - last_s, 3)
