"""A planned stop cuts no request in flight."""

from collections.abc import Sequence

from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.violation import Violation

NAME = "planned stop cuts nothing"


def check_planned_stop_cuts_nothing(history: History) -> Sequence[Violation]:
    """Check, in a run whose only faults are planned stops, that every call has an outcome.

    Refused before it ran is allowed (the caller asks another router); cut or unknown is not.
    """
    if history.has_other_faults or not history.planned_stops:
        return []
    return [
        Violation(NAME, call.invoked_s, f"{call.request_id} through {call.router} was cut")
        for call in history.calls
        if _is_cut(call)
    ]


def _is_cut(call: Call) -> bool:
    if call.outcome is CallOutcome.UNKNOWN:
        return True
    return call.is_cut or call.outcome is None
