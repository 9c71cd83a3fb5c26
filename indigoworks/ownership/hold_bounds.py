"""Upper bounds of the times until which servers may hold keys.

A hold is a server's lease on a range of keys, under a token. It starts when the server applies a
grant and lasts for the seconds that the grant names.
"""

from collections.abc import Mapping

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.key_spans import KeySpans
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.predecessor_grants import PredecessorGrants
from indigoworks.ownership.recorded_hold import RecordedHold, remove_keys_below

CLOCK_DRIFT_FACTOR = 1.02
"""Allows for a server's clock that runs slow by this factor."""

SEND_MARGIN_S = 0.1
"""Allows for the time between the reading of our clock and the sending."""

MAX_ORDER_DELAY_S = 13.0
"""Longest time after its sending until a running server applies an order that it did not answer."""


SLOW_ORDER_S = 0.1
"""A grant in flight for longer than this is announced to peers as one that may be applied late."""

EXPIRED_HOLD_RETENTION_S = 60.0
"""Time for which holds that have ended are remembered, for the log only."""


class HoldBounds:
    """Tracks the latest possible end of holds, on our clock, by server and range.

    A grant is recorded before it is sent, with the bound that applies if it is never answered. An
    unanswered grant may be applied until the server has answered a grant under a higher token on
    the same keys: from then on it refuses the earlier one, and is fenced from it. A server is
    unfenced on keys while only such an answer, and not a release, rules out earlier leaders' grants
    that it may apply late.

    "Own" bounds are those of all recorded holds: by grants of this process in this epoch and
    earlier ones, and the possible holds of `add_possible_hold`. Grants of earlier leaders have one
    bound in common, that of the predecessor, until witnesses have told to which servers it may have
    grants open.

    :ivar possible_holds: number of calls of `add_possible_hold`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._settled_s: dict[RecordedHold, float] = {}
        self._in_flight_s: dict[RecordedHold, float] = {}
        self._sent_s: dict[RecordedHold, float] = {}
        self._unanswered_s: dict[RecordedHold, float] = {}
        self._expired_s: dict[RecordedHold, float] = {}
        self._predecessor_s = float("inf")
        self._predecessor_grants: PredecessorGrants | None = None
        self._inherited = KeySpans()
        self._unfenced = KeySpans()
        self._answered = KeySpans()
        self.possible_holds = 0

    def start_epoch(self, predecessor_until_s: float) -> None:
        """Start an epoch as leader; grants of this process in earlier epochs may still hold.

        :param predecessor_until_s: bound of the holds that earlier leaders granted, as known now.
        """
        self._inherited = KeySpans()
        self._unfenced = KeySpans()
        self._answered = KeySpans()
        self._predecessor_s = predecessor_until_s
        self._predecessor_grants = None

    def add_possible_hold(self, server_id: str, owned: OwnedRange, until_s: float) -> None:
        """Record that a server may hold a range by a grant of an unknown leader."""
        hold = RecordedHold(server_id, owned.first, owned.last, owned.token)
        self._settled_s[hold] = max(until_s, self._settled_s.get(hold, until_s))
        self.possible_holds += 1

    def lower_predecessor_bound(self, until_s: float) -> None:
        """Lower the bound of earlier leaders' grants: the predecessor has stopped acting."""
        if until_s < self._predecessor_s:
            self._predecessor_s = until_s
            log_message(
                message_type="hold:predecessor_bound", left_s=round(until_s - self._clock.now(), 3)
            )

    def set_predecessor_grants(self, grants: PredecessorGrants) -> None:
        """Use what a witness has told of the predecessor's grants."""
        self._predecessor_grants = grants

    def lower_later_bound(self, until_s: float) -> None:
        """Lower the bound of what the predecessor sent since that: it has stopped acting."""
        if self._predecessor_grants is not None:
            self._predecessor_grants = self._predecessor_grants.lowered(until_s)

    def record_sent(self, owned: OwnedRange, hold_s: float, timeout_s: float) -> None:
        """Record that a grant is about to be sent; its answer is awaited for `timeout_s`."""
        late_s = timeout_s + MAX_ORDER_DELAY_S + hold_s * CLOCK_DRIFT_FACTOR + SEND_MARGIN_S
        self._in_flight_s[_hold(owned)] = self._clock.now() + late_s
        self._sent_s[_hold(owned)] = self._clock.now()

    def record_answered(self, owned: OwnedRange, hold_s: float, is_token_ours: bool = True) -> None:
        """Record that the grant was answered now, so that it was applied before.

        :param is_token_ours: no earlier leader has granted under the token, so that the server now
            refuses all their grants of the keys.
        """
        hold = _hold(owned)
        self._in_flight_s.pop(hold, None)
        if is_token_ours:
            for spans in (self._inherited, self._unfenced):
                spans.remove(owned.server_id, owned.first, owned.last)
            self._answered.add(owned.server_id, owned.first, owned.last)
        for known in (self._settled_s, self._in_flight_s, self._unanswered_s, self._expired_s):
            remove_keys_below(known, owned.server_id, owned.first, owned.last, owned.token)
        until_s = self._clock.now() + hold_s * CLOCK_DRIFT_FACTOR + SEND_MARGIN_S
        self._settled_s[hold] = max(until_s, self._settled_s.get(hold, until_s))

    def record_not_applied(self, owned: OwnedRange) -> None:
        """Record that the grant certainly was not and will not be applied."""
        self._in_flight_s.pop(_hold(owned), None)

    def record_unanswered(self, owned: OwnedRange) -> None:
        """Record that the grant was not answered and may still be applied."""
        hold = _hold(owned)
        until_s = self._in_flight_s.pop(hold, float("-inf"))
        self._unanswered_s[hold] = max(until_s, self._unanswered_s.get(hold, float("-inf")))

    def record_released(self, server_id: str, first: int, last: int, token: int) -> None:
        """Record that the server has given up what it held under tokens below `token`.

        Unanswered grants may still be applied: servers are not specified to remember the token of a
        release, as they do that of a grant.
        """
        for known in (self._settled_s, self._expired_s):
            remove_keys_below(known, server_id, first, last, token)

    def mark_inherited(self, server_id: str, first: int, last: int) -> None:
        """Record that earlier leaders may have sent the server grants of the keys."""
        self._inherited.add(server_id, first, last)

    def mark_unfenced(self, server_id: str, first: int, last: int) -> None:
        """Record that a server is unfenced: a release does not rule it out, a new grant does."""
        self._unfenced.add(server_id, first, last)

    def clear_unfenced(self, server_id: str, first: int, last: int) -> None:
        """Record that a release of the keys rules a server out from now on."""
        self._unfenced.remove(server_id, first, last)

    def is_unfenced(self, server_id: str, first: int, last: int) -> bool:
        """Return whether a release of any of the keys does not rule out the server on its own."""
        return self._unfenced.overlaps(server_id, first, last)

    def is_inherited(self, server_id: str, first: int, last: int) -> bool:
        """Return whether the server may yet apply earlier leaders' grants of any of the keys.

        The server refuses them once it has answered a grant of this leader.
        """
        return self._inherited.overlaps(server_id, first, last)

    def may_apply_late(self, server_id: str, first: int, last: int) -> bool:
        """Return whether the server may yet apply an unanswered grant of any of the keys."""
        return any(each.overlaps(server_id, first, last) for each in self._unanswered_s)

    def until_s(self, server_id: str, first: int, last: int) -> float:
        """Return until when the server may hold any of the keys."""
        own_s = self.own_until_s(server_id, first, last)
        grants = self._predecessor_grants
        if grants is not None and self._answered.covers(server_id, first, last):
            # The server refuses what earlier leaders sent and it has not answered.
            return max(grants.others_until_s, own_s)
        return max(self.server_predecessor_until_s(server_id), own_s)

    def own_until_s(self, server_id: str, first: int, last: int) -> float:
        """Return the own bound of a server; minus infinity: no hold is recorded."""
        bounds_s = [
            until_s
            for known in (self._settled_s, self._in_flight_s, self._unanswered_s)
            for hold, until_s in known.items()
            if hold.overlaps(server_id, first, last)
        ]
        return max(bounds_s, default=float("-inf"))

    @property
    def predecessor_until_s(self) -> float:
        """Return the bound of earlier leaders' grants; minus infinity: there were none.

        It is that of a server of which nothing else is known.
        """
        return self._predecessor_s

    def server_predecessor_until_s(self, server_id: str) -> float:
        """Return the bound of earlier leaders' grants to a server."""
        grants = self._predecessor_grants
        return self._predecessor_s if grants is None else grants.until_s(server_id)

    def last_grant(self, server_id: str, first: int, last: int) -> tuple[float, int | None]:
        """Return the latest end of recorded holds, and their highest token, for the log.

        Includes holds that ended in the last EXPIRED_HOLD_RETENTION_S.
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
        """Return how long the longest of the recorded holds may still last.

        Grants just sent are not included: each would count as unanswered, with a long bound.
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
        """Return how long earlier leaders' holds may still last; infinity: not known yet."""
        grants = self._predecessor_grants
        until_s = self._predecessor_s if grants is None else grants.latest_s()
        return max(0.0, until_s - self._clock.now())

    def open_servers(self) -> set[str]:
        """Return the servers that may yet apply a grant without having answered it.

        Includes those of which the same is known of earlier leaders' grants.
        """
        holds = (*self._in_flight_s, *self._unanswered_s)
        grants = self._predecessor_grants
        return {
            *(each.server_id for each in holds),
            *(() if grants is None else grants.open_at(self._clock.now())),
        }

    def open_until_s(self, server_id: str) -> float:
        """Return until when an open server may hold keys by what has been sent so far."""
        bounds_s = [
            until_s
            for known in (self._in_flight_s, self._unanswered_s)
            for hold, until_s in known.items()
            if hold.server_id == server_id
        ]
        return max((self.server_predecessor_until_s(server_id), *bounds_s))

    def settled_left_s(self) -> float:
        """Return for how long servers other than the open ones may hold keys."""
        grants = self._predecessor_grants
        earlier_s = self._predecessor_s if grants is None else grants.others_until_s
        until_s = max((earlier_s, *self._settled_s.values()))
        return max(0.0, until_s - self._clock.now())

    def drop_expired(self) -> None:
        """Drop holds that have ended, except those by grants that may still be applied."""
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

    def _remember(self, holds: Mapping[RecordedHold, float]) -> None:
        for hold, until_s in holds.items():
            self._expired_s[hold] = max(until_s, self._expired_s.get(hold, until_s))


def _hold(owned: OwnedRange) -> RecordedHold:
    return RecordedHold(owned.server_id, owned.first, owned.last, owned.token)
