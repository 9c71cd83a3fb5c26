"""Until when a server may hold keys at the latest."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.key_spans import KeySpans
from indigoworks.ownership.owned_range import OwnedRange

CLOCK_DRIFT_FACTOR = 1.02
"""A server's clock may run so much slow."""

SEND_MARGIN_S = 0.1
"""For the time between the reading of our clock and the sending."""

MAX_ORDER_DELAY_S = 13.0
"""A server may carry out an order that it did not answer up to so long after it was sent."""


SLOW_ORDER_S = 0.1
"""An order that is under way for longer may well be one that is carried out late."""

EXPIRED_HOLD_RETENTION_S = 60.0
"""Holds that have ended are remembered for so long, for the log only."""


@dataclass(frozen=True, slots=True)
class _Hold:
    server_id: str
    first: int
    last: int
    token: int

    def overlaps(self, server_id: str, first: int, last: int) -> bool:
        """Tell whether the server may hold one of the keys by it."""
        return self.server_id == server_id and self.first <= last and first <= self.last

    def without(self, first: int, last: int) -> "list[_Hold]":
        """Return what is left when keys `first` to `last` are taken out."""
        left = []
        if self.first < first:
            left.append(replace(self, last=first - 1))
        if last < self.last:
            left.append(replace(self, first=last + 1))
        return left


class HoldBounds:
    """Latest possible end of holds, on our clock, by server and range.

    A grant is noted before it is sent, with the bound that stands if its answer is never seen. One
    that was not answered stays possible until a server has answered an order under a higher token
    on the same keys: it refuses the earlier one from then on.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._settled_s: dict[_Hold, float] = {}
        self._in_flight_s: dict[_Hold, float] = {}
        self._sent_s: dict[_Hold, float] = {}
        self._unanswered_s: dict[_Hold, float] = {}
        self._expired_s: dict[_Hold, float] = {}
        self._predecessor_s = float("inf")
        self._inherited = KeySpans()
        self._unfenced = KeySpans()

    def start_epoch(self, predecessor_until_s: float) -> None:
        """Begin as a new leader; what this process granted as an earlier one may still hold.

        :param predecessor_until_s: bound of what earlier leaders granted, as known now.
        """
        self._inherited = KeySpans()
        self._unfenced = KeySpans()
        self._predecessor_s = predecessor_until_s

    def add_possible_hold(self, server_id: str, owned: OwnedRange, until_s: float) -> None:
        """Take note that a server may hold a range by the grant of a leader that is not known."""
        hold = _Hold(server_id, owned.first, owned.last, owned.token)
        self._settled_s[hold] = max(until_s, self._settled_s.get(hold, until_s))

    def lower_predecessor_bound(self, until_s: float) -> None:
        """Lower the bound of earlier leaders' grants: the predecessor acts no longer."""
        if until_s < self._predecessor_s:
            self._predecessor_s = until_s
            log_message(
                message_type="hold:predecessor_bound", left_s=round(until_s - self._clock.now(), 3)
            )

    def record_sent(self, owned: OwnedRange, hold_s: float, timeout_s: float) -> None:
        """Take note that a grant is about to be sent and answered within `timeout_s`, or not."""
        late_s = timeout_s + MAX_ORDER_DELAY_S + hold_s * CLOCK_DRIFT_FACTOR + SEND_MARGIN_S
        self._in_flight_s[_hold(owned)] = self._clock.now() + late_s
        self._sent_s[_hold(owned)] = self._clock.now()

    def record_answered(self, owned: OwnedRange, hold_s: float) -> None:
        """Take note that the grant was answered now: it was taken before this moment."""
        hold = _hold(owned)
        self._in_flight_s.pop(hold, None)
        for spans in (self._inherited, self._unfenced):
            spans.remove(owned.server_id, owned.first, owned.last)
        for known in (self._settled_s, self._in_flight_s, self._unanswered_s, self._expired_s):
            _remove_keys_below(known, owned.server_id, owned.first, owned.last, owned.token)
        until_s = self._clock.now() + hold_s * CLOCK_DRIFT_FACTOR + SEND_MARGIN_S
        self._settled_s[hold] = max(until_s, self._settled_s.get(hold, until_s))

    def record_not_applied(self, owned: OwnedRange) -> None:
        """Take note that the grant certainly was not and will not be taken."""
        self._in_flight_s.pop(_hold(owned), None)

    def record_unanswered(self, owned: OwnedRange) -> None:
        """Take note that the grant may still be taken."""
        hold = _hold(owned)
        until_s = self._in_flight_s.pop(hold, float("-inf"))
        self._unanswered_s[hold] = max(until_s, self._unanswered_s.get(hold, float("-inf")))

    def record_released(self, server_id: str, first: int, last: int, token: int) -> None:
        """Take note that the server has given up what it held under tokens below `token`.

        A grant that it may still take late stays possible: no page says that a server remembers the
        token of a release, as it does that of a grant.
        """
        for known in (self._settled_s, self._expired_s):
            _remove_keys_below(known, server_id, first, last, token)

    def mark_inherited(self, server_id: str, first: int, last: int) -> None:
        """Take note that earlier leaders may have sent the server grants of keys."""
        self._inherited.add(server_id, first, last)

    def mark_unfenced(self, server_id: str, first: int, last: int) -> None:
        """Take note that a release of keys says less of a server than a grant under a new token."""
        self._unfenced.add(server_id, first, last)

    def clear_unfenced(self, server_id: str, first: int, last: int) -> None:
        """Take note that a release of keys is enough from now on."""
        self._unfenced.remove(server_id, first, last)

    def is_unfenced(self, server_id: str, first: int, last: int) -> bool:
        """Tell whether a server is to answer a grant of any of the keys before it is released."""
        return self._unfenced.overlaps(server_id, first, last)

    def is_inherited(self, server_id: str, first: int, last: int) -> bool:
        """Tell whether grants of any of the keys by earlier leaders may be on their way.

        The server refuses them once it has answered a grant of this leader.
        """
        return self._inherited.overlaps(server_id, first, last)

    def may_apply_late(self, server_id: str, first: int, last: int) -> bool:
        """Tell whether a grant of any of the keys that the server left unanswered may be taken."""
        return any(each.overlaps(server_id, first, last) for each in self._unanswered_s)

    def until_s(self, server_id: str, first: int, last: int) -> float:
        """Return until when the server may hold any of the keys."""
        return max(self._predecessor_s, self.own_until_s(server_id, first, last))

    def own_until_s(self, server_id: str, first: int, last: int) -> float:
        """Return the bound of this leader's own grants; minus infinity: there were none."""
        bounds_s = [
            until_s
            for known in (self._settled_s, self._in_flight_s, self._unanswered_s)
            for hold, until_s in known.items()
            if hold.overlaps(server_id, first, last)
        ]
        return max(bounds_s, default=float("-inf"))

    @property
    def predecessor_until_s(self) -> float:
        """Return the bound of earlier leaders' grants; minus infinity: there were none."""
        return self._predecessor_s

    def last_grant(self, server_id: str, first: int, last: int) -> tuple[float, int | None]:
        """Return the latest end of this process's own grants, and their highest token, for the log.

        Those that have ended of late count, and those of epochs before the current one.
        """
        holds = [
            (until_s, hold.token)
            for known in (self._settled_s, self._in_flight_s, self._unanswered_s, self._expired_s)
            for hold, until_s in known.items()
            if hold.overlaps(server_id, first, last)
        ]
        until_s = max((until_s for until_s, _ in holds), default=float("-inf"))
        return until_s, max((token for _, token in holds), default=None)

    def longest_left_s(self) -> float:
        """Return how long the longest of this leader's holds may last.

        Orders that are under way as usual are left out: else each one would count as late.
        """
        now_s = self._clock.now()
        slow_s = [
            until_s
            for hold, until_s in self._in_flight_s.items()
            if now_s - self._sent_s.get(hold, now_s) > SLOW_ORDER_S
        ]
        bounds_s = (*self._settled_s.values(), *self._unanswered_s.values(), *slow_s)
        return max((0.0, *(until_s - now_s for until_s in bounds_s)))

    def earlier_left_s(self) -> float:
        """Return how long holds may last that earlier leaders granted; infinity: not known yet."""
        return max(0.0, self._predecessor_s - self._clock.now())

    def drop_expired(self) -> None:
        """Forget holds that have ended, but for those by grants that may still be taken."""
        now_s = self._clock.now()
        for known in (self._settled_s, self._in_flight_s):
            self._remember({hold: at_s for hold, at_s in known.items() if at_s <= now_s})
        oldest_s = now_s - EXPIRED_HOLD_RETENTION_S
        self._expired_s = {hold: at_s for hold, at_s in self._expired_s.items() if at_s > oldest_s}
        self._settled_s = {hold: at_s for hold, at_s in self._settled_s.items() if at_s > now_s}
        self._in_flight_s = {hold: at_s for hold, at_s in self._in_flight_s.items() if at_s > now_s}
        self._sent_s = {
            hold: at_s for hold, at_s in self._sent_s.items() if hold in self._in_flight_s
        }

    def _remember(self, holds: Mapping[_Hold, float]) -> None:
        for hold, until_s in holds.items():
            self._expired_s[hold] = max(until_s, self._expired_s.get(hold, until_s))


def _remove_keys_below(
    known: dict[_Hold, float], server_id: str, first: int, last: int, token: int
) -> None:
    """Take keys out of the holds of a server under tokens below `token`."""
    for hold in [each for each in known if each.overlaps(server_id, first, last)]:
        if hold.token < token:
            until_s = known.pop(hold)
            for left in hold.without(first, last):
                known[left] = max(until_s, known.get(left, until_s))


def _hold(owned: OwnedRange) -> _Hold:
    return _Hold(owned.server_id, owned.first, owned.last, owned.token)
