"""When reports go out, and how far."""

from enum import Enum

CHANGED_PERIOD_S = 0.05
"""Shortest time between two reports when something changed."""

PEERS_AT_FULL_PACE = 20
"""With more peers each reports less often: what one process receives stays about the same."""

MAX_PERIOD_S = 0.3
"""Longest such time: a peer must be heard well within the time for which it counts as live."""

SUMMED_PERIOD_S = 0.1
"""The same at a hub and at those that it sums up, whatever the number of peers."""

QUIET_S = 0.2
MIN_QUIET_PERIODS = 2
"""A report that would say nothing new goes out after so long, and so many periods at least."""

FAR_PERIODS = 2
"""Peers of other zones get every so many-th report: bytes between zones are dear."""

FAR_QUIET_S = 0.3
"""But one after so long in any case, and so many periods at least as above."""


class ReportScope(Enum):
    """Who gets a report."""

    NONE = "none"
    NEAR = "near"
    """Peers of the own zone, and the leader."""
    ALL = "all"


class ReportPace:
    """Decides once in each period whether a report goes out."""

    def __init__(self) -> None:
        self._quiet_periods = 0
        self._near_periods = 0
        self._changes = 0

    def period_s(self, peer_count: int, is_summed: bool = False) -> float:
        """Return the seconds until the next decision.

        :param is_summed: a hub sums the reports up, or this process is one.
        """
        if is_summed:
            return SUMMED_PERIOD_S
        crowd = max(1.0, peer_count / PEERS_AT_FULL_PACE)
        return min(CHANGED_PERIOD_S * crowd, MAX_PERIOD_S)

    def decide(
        self,
        peer_count: int,
        has_news: bool,
        is_summed: bool = False,
        is_urgent: bool = False,
    ) -> ReportScope:
        """Return who gets a report now.

        :param has_news: a report would say something new.
        :param is_urgent: it says what everyone waits for.
        """
        self._quiet_periods += 1
        self._near_periods += 1
        period_s = self.period_s(peer_count, is_summed)
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
