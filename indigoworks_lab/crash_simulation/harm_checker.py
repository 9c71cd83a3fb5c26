"""Checks what reached servers of requests under which three of them had ended."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.crash_simulation.caller_answer import CallerAnswer
from indigoworks_lab.crash_simulation.machine_run import MachineRun
from indigoworks_lab.crash_simulation.outages import CONTACT_S, Outages

HARM_LIMIT = 3
MAX_LATER = 3
"""Runs that may begin later than CONTACT_S after the third end, excused ones apart: the users'
bound."""


@dataclass(frozen=True)
class HarmReport:
    """What one run came to.

    :ivar ended: servers that ended under each harmful path.
    :ivar later: of these, runs that count against the bound.
    :ivar refused_innocents: tries of requests without harm that were refused as harmful.
    :ivar tries: all tries of requests without harm.
    """

    ended: dict[str, int]
    later: dict[str, int]
    refused_innocents: int
    tries: int

    def violations(self) -> list[str]:
        """Return the paths whose requests reached servers too often."""
        return [path for path, count in self.later.items() if count > MAX_LATER]


def check_harm(
    runs: Sequence[MachineRun], answers: Sequence[CallerAnswer], outages: Outages, mark: str
) -> HarmReport:
    """Return the report of a run.

    :param runs: in the order of time.
    :param mark: text in the path of each harmful request, and of no other.
    """
    by_path: dict[str, list[MachineRun]] = defaultdict(list)
    for run in runs:
        if mark in run.target:
            by_path[run.target.partition("?")[0]].append(run)
    innocent = [each for each in answers if mark not in each.target]
    return HarmReport(
        {path: len(known) for path, known in by_path.items()},
        {path: _count_later(known, outages) for path, known in by_path.items()},
        sum("quarantined" in each.text for each in innocent),
        len(innocent),
    )


def _count_later(runs: list[MachineRun], outages: Outages) -> int:
    if len(runs) <= HARM_LIMIT:
        return 0
    from_s = runs[HARM_LIMIT - 1].began_s + CONTACT_S
    later = [each for each in runs[HARM_LIMIT:] if each.began_s > from_s]
    return sum(not outages.is_excused(each.gateway, each.began_s) for each in later)
