"""Checks what callers saw of gateways that lost their path to all servers."""

from collections.abc import Callable, Iterator

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.path_history import PathHistory
from indigoworks_lab.gateway_soak.path_request import PathRequest
from indigoworks_lab.gateway_soak.path_request_kind import PathRequestKind

CONTACT_S = 3.0
"""Time after the begin of a cut from which the gateways must serve."""

BACK_S = 1.0
"""Time after its end from which they must serve all as before."""

MIN_RATIO = 2 / 3
"""Least share served at the cut gateways as a multiple of that at the others."""

MIN_SERVED = 0.9
"""Least share served at gateways that reach all servers, as keys must be 3 s after a loss."""

LEFT_S = 0.5
"""Time after which no server may begin a request whose caller has left."""

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""


def check_path(history: PathHistory) -> list[Violation]:
    """Return what broke."""
    return [
        *_served_alike(history),
        *_served(history),
        *_single_runs(history),
        *_refusals_kept(history),
        *_nothing_begun_after_leaving(history),
    ]


def share_served(requests: list[PathRequest]) -> float:
    """Return the share of requests that were served; 1 if there are none."""
    return sum(each.is_served for each in requests) / len(requests) if requests else 1.0


def during(history: PathHistory, is_cut: bool) -> list[PathRequest]:
    """Return the requests to cut gateways, or to the others, once the cut has lasted CONTACT_S."""

    def is_meant(request: PathRequest) -> bool:
        in_cut = history.cut_s + CONTACT_S <= request.sent_s and request.ended_s < history.healed_s
        return in_cut and (request.gateway in history.cut) is is_cut

    return _stayed(history, is_meant)


def after(history: PathHistory) -> list[PathRequest]:
    """Return the requests that were sent BACK_S after the end of the cut or later."""
    return _stayed(history, lambda each: each.sent_s >= history.healed_s + BACK_S)


def _stayed(history: PathHistory, is_meant: Callable[[PathRequest], bool]) -> list[PathRequest]:
    return [each for each in history.requests if each.left_s is None and is_meant(each)]


def _keyed(requests: list[PathRequest]) -> list[PathRequest]:
    return [each for each in requests if each.kind is PathRequestKind.KEYED]


def _served_alike(history: PathHistory) -> Iterator[Violation]:
    at_cut, at_others = during(history, is_cut=True), during(history, is_cut=False)
    for name, narrow in (("requests", list), ("keyed requests", _keyed)):
        cut, others = share_served(narrow(at_cut)), share_served(narrow(at_others))
        if cut < MIN_RATIO * others:
            text = f"{name}: {cut:.2f} served at cut gateways, {others:.2f} at the others"
            yield Violation("served_alike", history.cut_s, text)


def _served(history: PathHistory) -> Iterator[Violation]:
    spans = {
        "at the others in the cut": during(history, is_cut=False),
        f"{BACK_S} s after the cut": after(history),
    }
    for name, requests in spans.items():
        for which, narrow in (("requests", list), ("keyed requests", _keyed)):
            share = share_served(narrow(requests))
            if share < MIN_SERVED:
                text = f"{which} {name}: {share:.2f} served"
                yield Violation("served", history.cut_s, text)


def _single_runs(history: PathHistory) -> Iterator[Violation]:
    for each in history.requests:
        runs = len(history.begun_s.get(each.request_id, ()))
        if runs > 1 and not each.kind.is_safe:
            text = f"{each.request_id} ({each.kind.value}) ran {runs} times"
            yield Violation("single_runs", each.sent_s, text)


def _refusals_kept(history: PathHistory) -> Iterator[Violation]:
    for each in history.requests:
        if each.status in NOT_RUN and not each.kind.is_safe and each.request_id in history.begun_s:
            text = f"{each.request_id} got {each.status} and ran"
            yield Violation("refusals_kept", each.sent_s, text)


def _nothing_begun_after_leaving(history: PathHistory) -> Iterator[Violation]:
    for each in history.requests:
        begun_s = history.begun_s.get(each.request_id, ())
        if each.left_s is not None and any(at_s > each.left_s + LEFT_S for at_s in begun_s):
            text = f"{each.request_id} began after its caller had left"
            yield Violation("left", each.left_s, text)
