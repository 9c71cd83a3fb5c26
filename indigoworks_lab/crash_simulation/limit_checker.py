"""Checks that servers get no more than the limits that they name."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from indigoworks_lab.crash_simulation.machine_wishes import LimitChange, MachineWishes

CONTACT_S = 3.0
"""Windows that end so long after a server first named a limit, or later, are looked at."""

UNDER_WAY_S = 0.5
"""What a gateway sent within this time after it was told was on its way already."""

WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
"""Within each WINDOW_S a server may get FACTOR times what its limit allows, and SLACK requests."""

IsExcused = Callable[[str, float], bool]
"""Tells of a node whether what it sent at a time does not count: it was cut off or stood still."""


@dataclass(frozen=True)
class LimitBreach:
    """A server got `count` requests in the window that ends at `at_s`."""

    server_id: str
    at_s: float
    count: int
    allowed: float


@dataclass(frozen=True)
class LimitReport:
    """What a run came to.

    :ivar limited: servers that named a limit.
    :ivar told: lives of gateways that were told of one, added up over the servers.
    :ivar checked: arrivals that count.
    """

    limited: int
    told: int
    checked: int
    breaches: tuple[LimitBreach, ...]


def excuse_nobody(node: str, at_s: float) -> bool:
    """Serve where no gateway is cut off or stands still."""
    return False


def check_limits(
    machines: Iterable[MachineWishes], is_excused: IsExcused = excuse_nobody
) -> LimitReport:
    """Return the report of a run, over all machines."""
    limited = [each for each in machines if any(one.per_s is not None for one in each.limits)]
    breaches: list[LimitBreach] = []
    checked = 0
    for wishes in limited:
        first_s = next(each.at_s for each in wishes.limits if each.per_s is not None)
        for server_id in sorted({each.server_id for each in wishes.arrivals}):
            times_s = _counted_s(wishes, server_id, is_excused)
            checked += len(times_s)
            breaches += find_breaches(server_id, times_s, wishes.limits, first_s + CONTACT_S)
    told = sum(len(each.told_s) for each in limited)
    return LimitReport(len(limited), told, checked, tuple(breaches))


def _counted_s(wishes: MachineWishes, server_id: str, is_excused: IsExcused) -> list[float]:
    """Return the times at which requests of gateways arrived that had been told."""
    times_s = []
    for each in wishes.arrivals:
        told_s = wishes.told_s.get((each.gateway, server_id))
        if each.server_id != server_id or told_s is None or each.at_s < told_s + UNDER_WAY_S:
            continue
        if not is_excused(each.gateway.split("/")[0], each.at_s):
            times_s.append(each.at_s)
    return times_s


def find_breaches(
    server_id: str, times_s: Sequence[float], limits: Sequence[LimitChange], from_s: float
) -> Iterable[LimitBreach]:
    """Yield the windows that end at `from_s` or later and brought more than is allowed."""
    for number, at_s in enumerate(times_s):
        if at_s < from_s:
            continue
        begin_s = at_s - WINDOW_S
        allowed = FACTOR * _taken_between(begin_s, at_s, limits) + SLACK
        count = number + 1 - bisect_left(times_s, begin_s)
        if count > allowed:
            yield LimitBreach(server_id, at_s, count, allowed)


def _taken_between(begin_s: float, end_s: float, limits: Sequence[LimitChange]) -> float:
    """Return the requests that limits allow between two times; infinity where there was none.

    The time before the first limit counts as if it had been named by then.
    """
    taken = 0.0
    begins_s = [float("-inf"), *(each.at_s for each in limits[1:])]
    ends_s = [*begins_s[1:], float("inf")]
    for change, since_s, until_s in zip(limits, begins_s, ends_s, strict=True):
        overlap_s = min(end_s, until_s) - max(begin_s, since_s)
        if overlap_s > 0:
            taken += float("inf") if change.per_s is None else overlap_s * change.per_s
    return taken
