"""Until when a server may hold keys at the latest."""

from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.owned_range import OwnedRange

CLOCK_FACTOR = 1.02
"""A server's clock may run so much slow."""

MARGIN_S = 0.1
"""For the time between the reading of our clock and the sending."""

LATE_ORDER_S = 13.0
"""A server may carry out an order that it did not answer up to so long after it was sent."""


@dataclass(frozen=True, slots=True)
class _Hold:
    server_id: str
    first: int
    last: int
    token: int


class HoldBounds:
    """Latest possible end of holds, on our clock, by server and range.

    A grant is noted before it is sent, with the bound that stands if its answer is never seen.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._settled_s: dict[_Hold, float] = {}
        self._open_s: dict[_Hold, float] = {}
        self._predecessor_s = float("inf")

    def start_epoch(self, predecessor_until_s: float) -> None:
        """Begin as a new leader.

        :param predecessor_until_s: bound of what earlier leaders granted, as known now.
        """
        self._settled_s = {}
        self._open_s = {}
        self._predecessor_s = predecessor_until_s

    def tighten_predecessor(self, until_s: float) -> None:
        """Lower the bound of earlier leaders' grants: the predecessor acts no longer."""
        if until_s < self._predecessor_s:
            self._predecessor_s = until_s
            log_message(
                message_type="hold:predecessor_bound", left_s=round(until_s - self._clock.now(), 3)
            )

    def open(self, owned: OwnedRange, hold_s: float, timeout_s: float) -> None:
        """Take note that a grant is about to be sent and answered within `timeout_s`, or not."""
        late_s = timeout_s + LATE_ORDER_S + hold_s * CLOCK_FACTOR + MARGIN_S
        self._open_s[_hold(owned)] = self._clock.now() + late_s

    def close_answered(self, owned: OwnedRange, hold_s: float) -> None:
        """Take note that the grant was answered now: it was taken before this moment."""
        self._settle(owned, self._clock.now() + hold_s * CLOCK_FACTOR + MARGIN_S)

    def close_not_taken(self, owned: OwnedRange) -> None:
        """Take note that the grant certainly was not and will not be taken."""
        self._open_s.pop(_hold(owned), None)

    def close_unanswered(self, owned: OwnedRange) -> None:
        """Take note that the grant may still be taken."""
        self._settle(owned, self._open_s.get(_hold(owned), float("-inf")))

    def until_s(self, server_id: str, first: int, last: int) -> float:
        """Return until when the server may hold any of the keys."""
        return max(self._predecessor_s, self.own_until_s(server_id, first, last))

    def own_until_s(self, server_id: str, first: int, last: int) -> float:
        """Return the bound of this leader's own grants; minus infinity: there were none."""
        bounds_s = [
            until_s
            for known in (self._settled_s, self._open_s)
            for hold, until_s in known.items()
            if hold.server_id == server_id and hold.first <= last and first <= hold.last
        ]
        return max(bounds_s, default=float("-inf"))

    def longest_left_s(self) -> float:
        """Return how long the longest of this leader's settled holds may last."""
        now_s = self._clock.now()
        return max((until_s - now_s for until_s in self._settled_s.values()), default=0.0)

    def drop_past(self) -> None:
        """Forget holds that have ended."""
        now_s = self._clock.now()
        self._settled_s = {hold: at_s for hold, at_s in self._settled_s.items() if at_s > now_s}
        self._open_s = {hold: at_s for hold, at_s in self._open_s.items() if at_s > now_s}

    def _settle(self, owned: OwnedRange, until_s: float) -> None:
        hold = _hold(owned)
        self._open_s.pop(hold, None)
        self._settled_s[hold] = max(until_s, self._settled_s.get(hold, float("-inf")))


def _hold(owned: OwnedRange) -> _Hold:
    return _Hold(owned.server_id, owned.first, owned.last, owned.token)
