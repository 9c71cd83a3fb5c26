"""Until when servers may hold keys by grants of the leader before this one."""

from indigoworks.ownership.hold_bounds import CLOCK_DRIFT_FACTOR, MAX_ORDER_DELAY_S, SEND_MARGIN_S
from indigoworks.ownership.hold_policy import HOLD_S, STORE_TROUBLE_S
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_liveness import LeaderLiveness
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION

BEAT_DELAY_S = 0.2
"""A beat is heard up to so long after it was sent."""


def longest_unreported_hold_s(hold_max_s: float) -> float:
    """Return for how long a grant may hold after its sending of which nothing was told.

    :param hold_max_s: longest hold that a leader grants.
    """
    return max(MAX_ORDER_DELAY_S + HOLD_S, hold_max_s)


class PredecessorBound:
    """Latest end of holds that a predecessor granted, from its beats and its signs of life.

    What it had granted when it sent its newest beat ends as that beat said. What it sent later
    began before it acted no more; it may be long from the moment at which the beat's proof of
    leadership was old enough for long holds: a leader that is cut off says so to nobody.

    :ivar row: row of the predecessor.
    """

    def __init__(self, predecessor: LeaderRow, signs: LeaderLiveness) -> None:
        self.row = predecessor
        self._signs = signs

    def has_stopped_acting(self) -> bool:
        """Tell whether the predecessor is known to act no longer."""
        row = self.row
        return row.node == "" or self._signs.has_stopped_acting(row.node, row.boot, row.epoch)

    def silent_servers(self) -> tuple[str, ...]:
        """Return the servers that left orders of its unanswered, as far as it told."""
        return self._signs.announced_silent_servers(self.row.epoch)

    def may_be_pending(self, service: str, first: int, last: int) -> bool:
        """Tell whether it may not have granted a range to the owner that its row names."""
        pending = self._signs.announced_pending(self.row.epoch)
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
        if self.row.version == NO_VERSION:
            return float("-inf")
        acts_until_s = now_s if self.has_stopped_acting() else now_s + LEADER_LEASE_S
        epoch = self.row.epoch
        hold_s = self._hold_s(acts_until_s, hold_max_s)
        later_until_s = acts_until_s + hold_s * CLOCK_DRIFT_FACTOR + SEND_MARGIN_S
        return max(
            self._signs.announced_until_s(epoch),
            self._signs.announced_earlier_until_s(epoch),
            later_until_s,
        )

    def _hold_s(self, acts_until_s: float, hold_max_s: float) -> float:
        """Return the longest hold of a grant that is sent by `acts_until_s` and in no beat.

        Of a predecessor that was never heard, grants may also be unanswered and taken late.
        """
        epoch = self.row.epoch
        long_from_s = self._signs.announced_proof_time_s(epoch) + STORE_TROUBLE_S - BEAT_DELAY_S
        if long_from_s == float("-inf"):
            return longest_unreported_hold_s(hold_max_s)
        told_s = self._signs.announced_hold_s(epoch)
        # Its settings may allow longer holds than ours: what it told of it may grant again.
        longest_s = HOLD_S if acts_until_s < long_from_s else max(HOLD_S, hold_max_s, told_s)
        # Servers that took orders late when the beat was sent may have gone on so.
        return max(longest_s, told_s) if told_s > MAX_ORDER_DELAY_S else longest_s
