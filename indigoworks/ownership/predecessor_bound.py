"""Bound of the holds that the leader before this one granted."""

from indigoworks.ownership.hold_bounds import CLOCK_DRIFT_FACTOR, MAX_ORDER_DELAY_S, SEND_MARGIN_S
from indigoworks.ownership.hold_policy import HOLD_S, STORE_TROUBLE_S
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_liveness import LeaderLiveness
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION

BEAT_DELAY_S = 0.2
"""Longest time from the sending of a beat to its arrival."""


def longest_unreported_hold_s(hold_max_s: float) -> float:
    """Return how long after its sending a grant may hold that no beat has announced.

    It may be unanswered, applied late, and long.

    :param hold_max_s: longest hold that a leader grants.
    """
    return MAX_ORDER_DELAY_S + max(HOLD_S, hold_max_s)


class PredecessorBound:
    """Latest end of holds that the previous leader granted, from its beats and its liveness.

    Holds granted before its newest beat end as that beat announced. Later ones were sent before it
    stopped acting, may be unanswered and be applied late. They may be long ones from the time at
    which the proof in the beat was old enough for long holds, since a leader that is cut off cannot
    announce them. The bound is that of any server; PredecessorGrants tells which ones need it.

    :ivar row: leader row of the predecessor.
    """

    def __init__(self, predecessor: LeaderRow, liveness: LeaderLiveness) -> None:
        self.row = predecessor
        self._liveness = liveness

    @property
    def is_row_missing(self) -> bool:
        """Return whether no row names a predecessor: there was none, or its row is lost."""
        return self.row.version == NO_VERSION

    def has_stopped_acting(self) -> bool:
        """Return whether the predecessor is known to have stopped acting."""
        row = self.row
        return row.node == "" or self._liveness.has_stopped_acting(row.node, row.boot, row.epoch)

    def silent_servers(self) -> tuple[str, ...]:
        """Return the servers that the predecessor announced as not answering its orders."""
        return self._liveness.announced_silent_servers(self.row.epoch)

    def may_be_pending(self, service: str, first: int, last: int) -> bool:
        """Return whether the predecessor may not have granted a range to its owner yet."""
        pending = self._liveness.announced_pending(self.row.epoch)
        if pending is None:
            return True
        return any(
            each.service == service and each.first <= last and first <= each.last
            for each in pending
        )

    def until_s(self, now_s: float, hold_max_s: float) -> float:
        """Return the bound as known at `now_s`; minus infinity: there was no predecessor.

        :param hold_max_s: longest hold that a leader grants.
        """
        if self.is_row_missing:
            return float("-inf")
        epoch = self.row.epoch
        hold_s = self._longest_hold_s(self._may_act_until_s(now_s), hold_max_s)
        return max(
            self._liveness.announced_until_s(epoch),
            self._liveness.announced_earlier_until_s(epoch),
            self.later_until_s(now_s, hold_s),
        )

    def later_until_s(self, now_s: float, hold_s: float) -> float:
        """Return the bound of grants that it sent until it stopped acting, as known at `now_s`.

        :param hold_s: longest hold of these grants.
        """
        longest_s = MAX_ORDER_DELAY_S + hold_s * CLOCK_DRIFT_FACTOR
        return self._may_act_until_s(now_s) + longest_s + SEND_MARGIN_S

    def _may_act_until_s(self, now_s: float) -> float:
        return now_s if self.has_stopped_acting() else now_s + LEADER_LEASE_S

    def _longest_hold_s(self, may_act_until_s: float, hold_max_s: float) -> float:
        """Return the longest hold of grants sent until `may_act_until_s` that no beat told of.

        If the predecessor was never heard, its holds may have been long at any time.
        """
        epoch = self.row.epoch
        long_holds_from_s = (
            self._liveness.announced_proof_time_s(epoch) + STORE_TROUBLE_S - BEAT_DELAY_S
        )
        if may_act_until_s < long_holds_from_s:
            return HOLD_S
        # Its settings may allow longer holds than ours; it may repeat one as long as it announced.
        announced_s = self._liveness.announced_hold_s(epoch)
        if announced_s > MAX_ORDER_DELAY_S:
            # An unanswered grant: the delay is part of what was announced.
            announced_s -= MAX_ORDER_DELAY_S
        return max(HOLD_S, hold_max_s, announced_s)
