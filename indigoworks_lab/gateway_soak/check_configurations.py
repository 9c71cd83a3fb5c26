"""Checker: routes come into force in time, and a process never goes back."""

from collections.abc import Iterator, Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.soak_history import SoakHistory
from indigoworks_lab.gateway_soak.soak_request import SoakRequest

APPLY_S = 2.5
"""Longest time from the store's acknowledgement of a configuration until it is in force."""

RECOVER_S = 3.0
"""Time after trouble of the store in which nothing is asked of configurations."""

NOT_FOUND = 404


def check_configurations(history: SoakHistory) -> Sequence[Violation]:
    """Return routes that were not found too late, or again after a process had served them."""
    return sorted((*_late(history), *_backward(history)), key=lambda violation: violation.at_s)


def _late(history: SoakHistory) -> Iterator[Violation]:
    for request in _not_found(history) if history.is_timed else ():
        acknowledged_s = history.acknowledged_s[request.route_version]
        if request.sent_s <= acknowledged_s + APPLY_S:
            continue
        since_s = request.sent_s - APPLY_S - RECOVER_S
        if any(each.touches(since_s, request.sent_s) for each in history.troubles):
            continue
        since_s = request.sent_s - APPLY_S
        if any(each.touches(since_s, request.sent_s) for each in history.returns):
            continue
        after_s = request.sent_s - acknowledged_s
        text = f"version {request.route_version} not in force {after_s:.3f} s after its write"
        yield Violation("configurations", request.sent_s, _name(history, request) + text)


def _backward(history: SoakHistory) -> Iterator[Violation]:
    newest: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for request in history.requests:
        if request.is_whole and request.status != NOT_FOUND and request.status < 300:
            served = newest.setdefault((request.gateway, request.life), [])
            served.append((request.ended_s, request.route_version))
    for request in _not_found(history):
        served = newest.get((request.gateway, request.life), [])
        before = [version for at_s, version in served if at_s < request.sent_s]
        if max(before, default=0) >= request.route_version:
            text = f"went back behind version {request.route_version} from {max(before)}"
            yield Violation("configurations", request.sent_s, _name(history, request) + text)


def _not_found(history: SoakHistory) -> Iterator[SoakRequest]:
    return (each for each in history.requests if each.status == NOT_FOUND)


def _name(history: SoakHistory, request: SoakRequest) -> str:
    return f"{request.request_id} at {history.life(request).name}: "
