"""Schedules reports: when they are sent, and to which peers."""

from enum import Enum

CHANGED_PERIOD_S = 0.05
"""Shortest time between two reports that contain changes."""

PEERS_AT_FULL_PACE = 20
"""Number of peers above which each reports less often, to bound what one process receives."""

MAX_PERIOD_S = 0.3
"""Upper bound of the period in a large group, well below the time for which a peer counts as live
without a report."""

AGGREGATED_PERIOD_S = 0.1
"""The period at a hub and its members, whatever the number of peers."""

QUIET_S = 0.2
MIN_QUIET_PERIODS = 2
"""A report without changes is sent after QUIET_S, and at least MIN_QUIET_PERIODS periods."""

FAR_PERIODS = 2
"""Peers of other zones get one of this many reports: traffic between zones is expensive."""

FAR_QUIET_S = 0.3
"""Peers of other zones get a report after FAR_QUIET_S, and at least MIN_QUIET_PERIODS periods."""


class ReportScope(Enum):
    """Set of peers that get a report."""

    NONE = "none"
    NEAR = "near"
    """Peers of the own zone and the leader."""
    ALL = "all"


class ReportPace:
    """Decides once in each period whether to send a report, and to whom."""

    def __init__(self) -> None:
        self._quiet_periods = 0
        self._near_periods = 0
        self._changes = 0

    def period_s(self, peer_count: int, is_aggregated: bool = False) -> float:
        """Return the seconds until the next decision.

        :param is_aggregated: this process is a hub or a member of one.
        """
        if is_aggregated:
            return AGGREGATED_PERIOD_S
        slowdown = max(1.0, peer_count / PEERS_AT_FULL_PACE)
        return min(CHANGED_PERIOD_S * slowdown, MAX_PERIOD_S)

    def decide(
        self,
        peer_count: int,
        has_news: bool,
        is_aggregated: bool = False,
        is_urgent: bool = False,
    ) -> ReportScope:
        """Return which peers get a report now.

        :param has_news: a report would contain changes.
        :param is_urgent: it contains a change that all peers wait for.
        """
        self._quiet_periods += 1
        self._near_periods += 1
        period_s = self.period_s(peer_count, is_aggregated)
        is_overdue = self._quiet_periods >= _periods(QUIET_S, period_s)
        is_far_overdue = self._near_periods >= _periods(FAR_QUIET_S, period_s)
        is_for_all = is_urgent or is_overdue or is_far_overdue
        if not has_news and not is_for_all:
            return ReportScope.NONE
        self._quiet_periods = 0
        self._changes = (self._changes + 1) % FAR_PERIODS
        if self._changes and not is_for_all:
            return ReportScope.NEAR
        self._changes = 0
        self._near_periods = 0
        return ReportScope.ALL


def _periods(duration_s: float, period_s: float) -> int:
    return max(MIN_QUIET_PERIODS, round(duration_s / period_s))
