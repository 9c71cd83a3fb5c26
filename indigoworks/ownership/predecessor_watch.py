"""Keeps the bounds of the previous leader's grants up to date."""

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HoldPolicy
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.ownership.predecessor_fence import FencedGrants
from indigoworks.ownership.predecessor_grants import PredecessorGrants
from indigoworks.ownership.server_reach import ServerReach


class PredecessorWatch:
    """Sets the bounds of the previous leader's grants at the start of an epoch, and lowers them.

    They get lower by what a witness tells, and once that leader is known to have stopped acting.

    :ivar bound: what its heartbeats and liveness tell.
    """

    def __init__(
        self,
        predecessor: LeaderRow,
        leadership: Leadership,
        tables: OwnershipTables,
        bounds: HoldBounds,
        policy: HoldPolicy,
        reach: ServerReach,
        clock: Clock,
    ) -> None:
        self.bound = PredecessorBound(predecessor, leadership.liveness)
        self._leadership = leadership
        self._tables = tables
        self._bounds = bounds
        self._policy = policy
        self._reach = reach
        self._clock = clock
        self._fenced: FencedGrants | None = None

    def start_epoch(self) -> None:
        """Set the bounds, unless this process itself led until the former era ended."""
        if self._leadership.led_former_era(self._leadership.era - 1):
            return
        self._bounds.start_epoch(self._until_s())
        for server_id in self.bound.silent_servers():
            self._reach.mark_silent(server_id)

    def row_to_fence(self) -> LeaderRow | None:
        """Return the previous leader's row, if it is known to be that leader's newest one.

        Rows of an earlier era of the store are not: what was written after its copy is lost.
        """
        row = self.bound.row
        return row if row.version.era == self._leadership.era else None

    def use_grants(self, fenced: FencedGrants) -> None:
        """Use what witnesses tell of the grants of the newest leader that has sent any."""
        self._fenced = fenced
        now_s = self._clock.now()
        known = PredecessorGrants.received(fenced.grants, now_s, self._later_until_s(fenced))
        self._bounds.set_predecessor_grants(known)
        for each in fenced.grants.servers:
            if each.is_silent:
                self._reach.mark_silent(each.server_id)

    def update(self) -> None:
        """Lower the bounds if the previous leader is known to have stopped acting."""
        if self.bound.has_stopped_acting():
            now_s = self._clock.now()
            until_s = self.bound.until_s(now_s, self._policy.longest_max_s)
            self._bounds.lower_predecessor_bound(until_s)
        if self._fenced is not None:
            self._bounds.lower_later_bound(self._later_until_s(self._fenced))

    def may_be_pending(self, service: str, first: int, last: int) -> bool:
        """Return whether the previous leader may not have granted a range to its owner yet."""
        return self.bound.may_be_pending(service, first, last)

    def _later_until_s(self, fenced: FencedGrants) -> float:
        """Return the bound of what a fenced leader sent since its record."""
        bound = PredecessorBound(fenced.row, self._leadership.liveness)
        return bound.later_until_s(self._clock.now(), fenced.grants.hold_s)

    def _until_s(self) -> float:
        """Return the latest end of holds that the previous leader granted.

        Minus infinity in an era that has no tables yet, unless this process followed the former era
        to its end: TableRecovery then records possible holds range by range.
        """
        era = self._leadership.era
        if self._tables.has_tables_of(era) or self._leadership.knows_former_era(era - 1):
            return self.bound.until_s(self._clock.now(), self._policy.longest_max_s)
        return float("-inf")
