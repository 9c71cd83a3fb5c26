"""Refusals of requests that cannot be placed."""

from indigoworks.gateway.candidate_load import CandidateLoad
from indigoworks.gateway.owner_lookup import Owner, OwnerState
from indigoworks.gateway.refusal import Refusal, RefusalReason

SERVER_BACK_S = 0.5
"""Assumed time until a service without servers has one again: a starting server is listed within
about half a heartbeat."""

MIN_RETRY_AFTER_S = 0.05

BROKER_BACK_S = 0.5
"""Assumed time until a broker answers after none did: another one is asked by then."""


def no_server() -> Refusal:
    """Refuse a request whose service has no usable server."""
    return Refusal(RefusalReason.NO_SERVER, SERVER_BACK_S)


def no_owner(owner: Owner, left_s: float) -> Refusal:
    """Refuse a request whose key has no ready owner.

    :param left_s: expected seconds until the key is served again.
    """
    if owner.state is OwnerState.RESTING and owner.server is not None:
        return resting(owner.server.server_id, left_s)
    is_unreachable = owner.state in (OwnerState.UNREACHABLE, OwnerState.OUT_OF_REACH_HERE)
    reason = RefusalReason.OWNER_UNREACHABLE if is_unreachable else RefusalReason.NO_OWNER
    server_id = "" if owner.server is None else owner.server.server_id
    return Refusal(reason, max(MIN_RETRY_AFTER_S, left_s), server_id, expected_s=left_s)


def resting(server_id: str, left_s: float) -> Refusal:
    """Refuse a request whose only possible servers rest for another `left_s`.

    All refused callers retry when the rest ends. Spreading the retries would give fewer refusals,
    but serve requests later on average: requests queue here as well as at the callers.

    :param server_id: the server; empty if any of several could run it.
    """
    return Refusal(
        RefusalReason.SERVER_RESTS,
        max(MIN_RETRY_AFTER_S, left_s),
        server_id,
        expected_s=left_s,
    )


def paced_by_broker(server_id: str) -> Refusal:
    """Refuse a request that only the broker of its rate-limited server may place.

    :param server_id: the owner of its key; empty if any server could run it.
    """
    return limited(server_id, BROKER_BACK_S)


def limited(server_id: str, left_s: float) -> Refusal:
    """Refuse a request whose rate-limited server may get its next request in `left_s`.

    :param server_id: the server; empty if any of several could run it.
    """
    return Refusal(
        RefusalReason.SERVER_LIMITED,
        max(MIN_RETRY_AFTER_S, left_s),
        server_id,
        expected_s=left_s,
    )


def failing(server_id: str, left_s: float) -> Refusal:
    """Refuse a request for a key whose owner is ejected, and is tried again in `left_s`."""
    return Refusal(RefusalReason.SERVER_FAILS, left_s, server_id, expected_s=left_s)


def overload(server_id: str, load: CandidateLoad, ahead: int) -> Refusal:
    """Refuse a request that would wait too long behind `ahead` others.

    :param server_id: the owner of its key; empty if any server could run it.
    """
    wait_s = load.wait_s(ahead)
    is_limited = load.rate_per_s is not None
    return Refusal(
        RefusalReason.SERVER_LIMITED if is_limited else RefusalReason.OVERLOAD,
        max(MIN_RETRY_AFTER_S, wait_s),
        server_id,
        round(load.in_flight),
        wait_s + load.min_service_time_s,
    )
