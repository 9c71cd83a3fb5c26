"""Bound of the holds that a leader granted whose row the store has lost."""

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import CLOCK_DRIFT_FACTOR, SEND_MARGIN_S
from indigoworks.ownership.hold_policy import HoldPolicy
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.possible_holders import PossibleHolders
from indigoworks.ownership.predecessor_bound import longest_unreported_hold_s


class LostLeader:
    """A leader that no row and no beat tells of; it may act for a lease after this epoch began.

    Create it when the epoch begins.
    """

    def __init__(self, holders: PossibleHolders, policy: HoldPolicy, clock: Clock) -> None:
        self._holders = holders
        self._policy = policy
        self._may_act_until_s = clock.now() + LEADER_LEASE_S

    def holds_until_s(self) -> float:
        """Return the latest end of the holds that it may have granted."""
        hold_s = longest_unreported_hold_s(self._policy.longest_max_s)
        return self._may_act_until_s + hold_s * CLOCK_DRIFT_FACTOR + SEND_MARGIN_S

    def record_holds(self, table: OwnershipTable) -> None:
        """Record that it may have granted each range of a table to each server named there."""
        for owned in table.ranges:
            former = {each.server_id for each in owned.former}
            self._holders.record(owned, {owned.server_id, *former}, self.holds_until_s())
