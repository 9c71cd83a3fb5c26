"""Runs every schedule of a case within a bound."""

from collections.abc import Callable, Coroutine
from typing import Any

import detangle
from detangle.strategies import DFS

from indigoworks_lab.simulation.bounded.search_result import SearchResult

MAX_SCHEDULES = 200_000


class PromiseBroken(AssertionError):
    """A checker found a violation in a schedule."""


def search(case: Callable[[], Coroutine[Any, Any, None]], max_delays: int) -> SearchResult:
    """Run `case` under every sequence of choices with at most `max_delays` deviations.

    A choice of the case (`detangle.choice`) deviates by the position of what is chosen, so the
    first option is the usual one.
    """
    strategy = DFS(max_delays=max_delays)
    try:
        stats = detangle.explore(
            case,
            runs=MAX_SCHEDULES,
            strategy=strategy,
            shrink=False,
            database=False,
            reorder=False,
            fail_on_unobserved=False,
        )
    except detangle.BugFound as found:
        return SearchResult(strategy.schedules, False, str(found.report.failure.message))
    return SearchResult(strategy.schedules, stats.exhausted, "")
