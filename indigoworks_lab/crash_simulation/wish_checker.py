"""Checks that gateways heed what servers ask for in their answers."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from indigoworks_lab.crash_simulation.machine_wishes import Arrival, MachineWishes

UNDER_WAY_S = 0.5
"""What arrives so soon after the answer was on its way already."""

MAX_IN_REST = 2
"""Requests that may arrive later than that within a rest."""

DRAIN_S = 2.0
"""What callers sent so long after an answer that told of the leaving must not arrive any more."""


@dataclass(frozen=True)
class WishReport:
    """Wishes that were not heeded, and how many there were in all.

    :ivar in_rest: rests within which more than MAX_IN_REST requests arrived.
    :ivar after_leaving: requests that arrived though their gateway knew of the leaving.
    """

    rests: int
    in_rest: int
    leavings: int
    after_leaving: int


def check_wishes(machines: Iterable[MachineWishes]) -> WishReport:
    """Return the report of a run, over all machines and lives of gateways."""
    rests = in_rest = leavings = after_leaving = 0
    for wishes in machines:
        by_pair = _by_pair(wishes.arrivals)
        told: set[tuple[str, str]] = set()
        for wish in wishes.asked:
            pair = (wish.gateway, wish.server_id)
            if wish.rest_s > 0:
                rests += 1
                times_s = [each.at_s for each in by_pair[pair]]
                first = bisect_right(times_s, wish.at_s + UNDER_WAY_S)
                in_rest += bisect_left(times_s, wish.at_s + wish.rest_s) - first > MAX_IN_REST
            if wish.is_leaving and pair not in told:
                told.add(pair)
                leavings += 1
                until_s = wish.at_s + DRAIN_S
                after_leaving += sum(each.sent_s > until_s for each in by_pair[pair])
    return WishReport(rests, in_rest, leavings, after_leaving)


def _by_pair(arrivals: Iterable[Arrival]) -> dict[tuple[str, str], list[Arrival]]:
    found: dict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for each in arrivals:
        found[each.gateway, each.server_id].append(each)
    return found
