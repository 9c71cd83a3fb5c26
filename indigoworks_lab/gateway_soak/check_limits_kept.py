"""Checker: servers get no more than the limits that they name."""

from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.crash_simulation.limit_checker import CONTACT_S, UNDER_WAY_S, find_breaches
from indigoworks_lab.gateway_soak.soak_history import SoakHistory

Life = tuple[str, int]
"""Name of a gateway and number of its process."""


def check_limits_kept(history: SoakHistory) -> Sequence[Violation]:
    """Return windows in which a server got more than it takes from gateways that it had told."""
    if not history.is_timed:
        return []
    found: list[Violation] = []
    for server_id, limits in history.limits.items():
        first_s = min(each.at_s for each in limits)
        times_s = _counted_s(history, server_id)
        for each in find_breaches(server_id, times_s, limits, first_s + CONTACT_S):
            text = f"{server_id} got {each.count} requests in 4 s; {each.allowed:.1f} are allowed"
            found.append(Violation("limits_kept", each.at_s, text))
    return found


def _counted_s(history: SoakHistory, server_id: str) -> list[float]:
    """Return when requests arrived of processes that the server had told of a limit before."""
    lives = {each.request_id: (each.gateway, each.life) for each in history.requests}
    told_s: dict[Life, float] = {}
    for wish in history.wishes:
        life = lives.get(wish.request_id)
        if wish.server_id == server_id and wish.limit_per_s is not None and life is not None:
            told_s.setdefault(life, wish.at_s)
    return [
        each.at_s
        for each in history.arrivals
        if each.server_id == server_id
        and (life := lives.get(each.request_id)) in told_s
        and each.at_s >= told_s[life] + UNDER_WAY_S
    ]
