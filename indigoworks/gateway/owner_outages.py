"""Estimates how long keys stay without a ready owner, from past outages."""

from collections import deque
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.gateway import queue_refusals
from indigoworks.gateway.owner_lookup import Owner, OwnerLookup, OwnerState
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest

MAX_PAST_OUTAGES = 32
"""Past outages of each state that an estimate uses. The oldest is dropped first, so that a gateway
adapts during one incident: a lost server leaves a handful of ranges behind."""

OWNER_POLL_S = 0.05
"""Period in which a request without a ready owner is reassessed: an outage is expected to last
longer the longer it lasts, and some end without an event, as the pause after a 421 (0.05 to
0.4 s)."""

MAX_OPEN = 1000
"""Most outages tracked at a time, to bound memory; requests for keys of further ones are estimated
as if their outage had just begun."""

ASSUMED_S = {
    OwnerState.PENDING: 0.15,
    OwnerState.UNREACHABLE: 1.0,
    OwnerState.RESTING: 1.0,
    OwnerState.NONE: 1.0,
}
"""Assumed length in seconds before any outage in that state was observed. Pending: a planned move,
which waits for requests in progress and makes two calls. Others: the time until a server counts as
lost, or until the leader learns that it asked several gateways for rest, and the time to grant its
keys to another server."""


@dataclass(frozen=True, slots=True)
class _Outage:
    """One range without a ready owner; a service whose keys have no owner at all counts as one.

    :ivar key: the first requested key.
    :ivar state: state of its owner at that time. An unreachable owner is replaced by one that has
        not been granted the key yet: for waiting requests this is one outage.
    """

    service: str
    key: int
    state: OwnerState
    since_s: float


class OwnerOutages:
    """Tells whether a request waits for an owner of its key, and how long that is likely to take.

    An outage begins with the first request that finds it, and ends when the key of that request has
    a ready owner again.
    The expectation for one that has lasted a while is the median of what remained of those past
    ones that lasted at least as long: half of them were over by then.
    """

    def __init__(self, owners: OwnerLookup, server_stats: ServerStats, clock: Clock) -> None:
        self._owners = owners
        self._server_stats = server_stats
        self._clock = clock
        self._open: dict[tuple[str, int], _Outage] = {}
        self._lengths_s: dict[OwnerState, deque[float]] = {}

    def refusal_if_late(self, entry: WaitingRequest) -> Refusal | None:
        """Return a refusal if the request's key is unlikely to have a ready owner in time.

        Waiting uses up the caller's time for a retry, so a request waits only while it is more
        likely than not to be answered within its limit.

        :param entry: a request for a key whose owner is not ready.
        """
        assert entry.key is not None
        owner = self._owners.find(entry.service, entry.key)
        if owner.state is OwnerState.OUT_OF_REACH_HERE:
            # The key is served elsewhere: waiting here does not bring it back.
            return queue_refusals.no_owner(owner, 0.0)
        left_s = self._left_s(entry.service, entry.key, owner)
        if self._clock.now() + left_s + self._service_s(owner, entry.service) <= entry.limit_s:
            return None
        return queue_refusals.no_owner(owner, left_s)

    def refusal(self, entry: WaitingRequest) -> Refusal:
        """Return the refusal of a request for a key without a ready owner."""
        assert entry.key is not None
        owner = self._owners.find(entry.service, entry.key)
        if owner.state is OwnerState.OUT_OF_REACH_HERE:
            return queue_refusals.no_owner(owner, 0.0)
        return queue_refusals.no_owner(owner, self._left_s(entry.service, entry.key, owner))

    def close_ended(self) -> None:
        """Close the outages whose keys have a ready owner again; called when owners change."""
        for name, outage in list(self._open.items()):
            if self._owners.find(outage.service, outage.key).state is not OwnerState.READY:
                continue
            del self._open[name]
            length_s = self._clock.now() - outage.since_s
            self._lengths(outage.state).append(length_s)
            log_message(
                message_type="owner:back",
                service=outage.service,
                key=outage.key,
                state=outage.state.value,
                length_s=round(length_s, 3),
            )

    def _left_s(self, service: str, key: int, owner: Owner) -> float:
        """Return the expected seconds until a key whose owner is not ready is served again."""
        outage = self._open.get((service, owner.first))
        if outage is None:
            outage = _Outage(service, key, owner.state, self._clock.now())
            if len(self._open) < MAX_OPEN:
                self._open[service, owner.first] = outage
        expected_s = self._expected_left_s(outage.state, self._clock.now() - outage.since_s)
        # The keys of a resting server may move before its rest ends, and need not move afterwards.
        return min(expected_s, owner.rest_left_s) if owner.rest_left_s else expected_s

    def _service_s(self, owner: Owner, service: str) -> float:
        if owner.server is None:
            return self._server_stats.mean_service_time_s(service)
        return self._server_stats.service_time_s(owner.server)

    def _expected_left_s(self, state: OwnerState, age_s: float) -> float:
        left_s = sorted(each - age_s for each in self._lengths(state) if each > age_s)
        if left_s:
            return left_s[len(left_s) // 2]
        # It outlasts all observed outages, so there is no evidence that it ends soon.
        return max(ASSUMED_S[state] - age_s, age_s)

    def _lengths(self, state: OwnerState) -> deque[float]:
        return self._lengths_s.setdefault(state, deque(maxlen=MAX_PAST_OUTAGES))
