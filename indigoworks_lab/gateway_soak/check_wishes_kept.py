"""Checker: gateways heed what servers ask for in their answers."""

from collections import defaultdict
from collections.abc import Sequence

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.gateway_soak.server_wish import ServerArrival, ServerWish
from indigoworks_lab.gateway_soak.soak_history import SoakHistory
from indigoworks_lab.gateway_soak.soak_request import SoakRequest

UNDER_WAY_S = 0.5
"""What arrives so soon after the answer was on its way already."""

MAX_IN_REST = 2
DRAIN_S = 2.0
"""What callers sent so long after a gateway was told that a server leaves must not arrive."""

Life = tuple[str, int]
"""Name of a gateway and number of its process."""


def check_wishes_kept(history: SoakHistory) -> Sequence[Violation]:
    """Return rests with too many requests in them, and requests to servers that leave."""
    if not history.is_timed:
        return []
    requests = {each.request_id: each for each in history.requests}
    arrivals: dict[tuple[Life, str], list[ServerArrival]] = defaultdict(list)
    for each in history.arrivals:
        if each.request_id in requests:
            arrivals[_life(requests[each.request_id]), each.server_id].append(each)
    found: list[Violation] = []
    told: set[tuple[Life, str]] = set()
    for wish in history.wishes:
        if wish.request_id not in requests:
            continue
        pair = (_life(requests[wish.request_id]), wish.server_id)
        if wish.rest_s > 0:
            found += _in_rest(wish, arrivals[pair])
        if wish.is_leaving and pair not in told:
            told.add(pair)
            found += _after_leaving(wish, arrivals[pair], requests)
    return found


def _in_rest(wish: ServerWish, arrivals: Sequence[ServerArrival]) -> list[Violation]:
    first_s, last_s = wish.at_s + UNDER_WAY_S, wish.at_s + wish.rest_s
    count = sum(first_s < each.at_s < last_s for each in arrivals)
    if count <= MAX_IN_REST:
        return []
    text = f"{wish.server_id} asked for {wish.rest_s} s of rest and got {count} requests"
    return [Violation("wishes_kept", wish.at_s, text)]


def _after_leaving(
    wish: ServerWish, arrivals: Sequence[ServerArrival], requests: dict[str, SoakRequest]
) -> list[Violation]:
    return [
        Violation("wishes_kept", each.at_s, f"{each.request_id} reached {wish.server_id}, leaving")
        for each in arrivals
        if requests[each.request_id].sent_s > wish.at_s + DRAIN_S
    ]


def _life(request: SoakRequest) -> Life:
    return request.gateway, request.life
