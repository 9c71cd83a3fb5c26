"""What calls may end with while the platform is down and the leader holds."""

from collections.abc import Sequence

from indigoworks.admin.bodies.range_body import RangeBody
from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.process_run.owner_reader import holds, range_of

MAX_MOVING_RANGES = 1
"""What the move budget of the sample tree, a tenth of 12 moves a minute, lets go at once."""


def faults_of_outage(
    calls: Sequence[Call], ranges: Sequence[RangeBody], lost_server: str
) -> Sequence[str]:
    """Return what is wrong with `calls`, as texts.

    Calls on the keys of other servers than `lost_server` must complete. A range whose handover had
    begun has no server until the change of its owner is committed, which waits for the platform:
    calls on it may be refused for that, unrun. There is one such range at most.

    :param ranges: ranges and owners during the outage.
    """
    others = [call for call in calls if range_of(ranges, call.key).owner != lost_server]
    moving = [each for each in ranges if each.next_owner and each.owner != lost_server]
    faults = [
        f"not completed: {call}"
        for call in others
        if call.outcome is not CallOutcome.COMPLETED and not _is_refused_for_move(call, moving)
    ]
    if not any(call.outcome is CallOutcome.COMPLETED for call in others):
        faults.append(f"none of {len(others)} calls on keys of other servers completed")
    if len(moving) > MAX_MOVING_RANGES:
        faults.append(f"more than one handover at a time: {moving}")
    return faults


def _is_refused_for_move(call: Call, moving: Sequence[RangeBody]) -> bool:
    is_moving = any(holds(each, call.key) for each in moving)
    is_wrong_owner = b'"wrong_owner"' in call.body
    return is_moving and call.outcome is CallOutcome.NOT_RUN and is_wrong_owner
