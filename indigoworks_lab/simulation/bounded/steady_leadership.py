"""A leadership that lasts as long as the case says."""

from indigoworks.common.clock import Clock
from indigoworks.controller.lease_timing import LEASE_LAPSE_S


class SteadyLeadership:
    """Stands in for `Leadership`, without a control log behind it."""

    def __init__(self, clock: Clock, term: int = 1) -> None:
        self.term = term
        self.generation = 1
        self.is_over = False
        self.earlier_leases_lapse_at_s = clock.now() + LEASE_LAPSE_S
        self._clock = clock

    def is_current(self) -> bool:
        """Tell whether it lasts."""
        return not self.is_over

    def may_grant(self) -> bool:
        """Tell whether it lasts."""
        return not self.is_over

    def may_grant_ranges(self) -> bool:
        """Tell whether it lasts."""
        return not self.is_over

    def can_commit(self) -> bool:
        """Tell whether it lasts."""
        return not self.is_over

    def have_earlier_leases_lapsed(self) -> bool:
        """Tell whether no lease of an earlier leader can still hold."""
        return self._clock.now() >= self.earlier_leases_lapse_at_s
