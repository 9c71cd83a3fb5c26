"""Everything that was recorded in a run."""

from dataclasses import dataclass, field

from indigoworks_lab.checkers.history.assignment_sample import AssignmentSample
from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.departure import Departure
from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.checkers.history.leader_overlap import LeaderOverlap
from indigoworks_lab.checkers.history.loss import Loss
from indigoworks_lab.checkers.history.ownership_span import OwnershipSpan
from indigoworks_lab.checkers.history.planned_stop import PlannedStop
from indigoworks_lab.checkers.history.settings_change import SettingsChangeCall
from indigoworks_lab.checkers.history.settings_use import SettingsUse


@dataclass
class History:
    """Records of one run, each list in the order of the events' beginnings.

    :ivar has_other_faults: faults besides planned stops were injected.
    """

    executions: list[Execution] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    spans: list[OwnershipSpan] = field(default_factory=list)
    assignments: list[AssignmentSample] = field(default_factory=list)
    leader_overlaps: list[LeaderOverlap] = field(default_factory=list)
    settings_changes: list[SettingsChangeCall] = field(default_factory=list)
    settings_uses: list[SettingsUse] = field(default_factory=list)
    losses: list[Loss] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    has_other_faults: bool = False
