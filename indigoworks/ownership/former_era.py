"""What a process knew of its control group when an era of the store ended."""

from dataclasses import dataclass

from indigoworks.ownership.leader_row import NO_LEADER, LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION


@dataclass(frozen=True, slots=True)
class FormerEra:
    """Knowledge of the newest era before the current one.

    :ivar row: the newest known leader row.
    :ivar is_led: this process led until the end.
    :ivar is_fresh: the group's rows were followed until less than a hold before the end.
    """

    row: LeaderRow
    is_led: bool
    is_fresh: bool

    def precedes(self, era: int) -> bool:
        """Return whether this is the era directly before `era`."""
        return self.row.version != NO_VERSION and self.row.version.era == era - 1


NO_FORMER_ERA = FormerEra(NO_LEADER, is_led=False, is_fresh=False)
"""State of a process that has just started."""
