"""Checkers: what may not be repeated runs once, and what was refused did not run."""

from collections import defaultdict
from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.key_history import KeyHistory

REFUSALS = (408, 421, 429, 503)


def check_key_requests(history: KeyHistory) -> Sequence[Violation]:
    """Return unsafe requests that ran more than once, or ran and were refused."""
    begun_s: defaultdict[str, list[float]] = defaultdict(list)
    for life in history.lives:
        for event in life.events:
            if event.kind == "begun":
                begun_s[event.request_id].append(event.at_s)
    found = []
    for request_id, status in history.unsafe_answers.items():
        runs_s = begun_s[request_id]
        if len(runs_s) > 1:
            text = f"{request_id} ran {len(runs_s)} times"
            found.append(Violation("single_runs", max(runs_s), text))
        if runs_s and status in REFUSALS:
            text = f"{request_id} ran and was answered with {status}"
            found.append(Violation("refusals_kept", max(runs_s), text))
    return sorted(found, key=lambda each: each.at_s)
