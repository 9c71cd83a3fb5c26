"""How long keys stay without an owner that serves them, by what was seen so far."""

from collections import deque
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.gateway import queue_refusals
from indigoworks.gateway.owner_lookup import Owner, OwnerLookup, OwnerState
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest

REMEMBERED = 32
"""Past outages of each kind that an expectation goes by: the oldest is forgotten first, so that a
gateway adapts within one trouble. A server that is lost leaves a handful of ranges behind."""

OWNER_POLL_S = 0.05
"""Time between two looks at a request without an owner: the longer the outage lasts, the longer it
is expected to last, and some end without a message, such as the rest after a 421 (0.05 s)."""

MAX_OPEN = 1000
"""Outages followed at a time, for a bound on memory; requests for keys of further ones are refused
as if nothing were known."""

ASSUMED_S = {
    OwnerState.PENDING: 0.15,
    OwnerState.UNREACHABLE: 1.0,
    OwnerState.RESTING: 1.0,
    OwnerState.NONE: 1.0,
}
"""Assumed length in seconds before any outage of that kind was seen; no measurement, an estimate.
Pending: a planned move, which waits for the work under way and makes two calls. The others: the
silence after which a server is taken for lost, or a moment in which the leader hears that it asked
several gateways for rest, and a moment to grant its keys anew."""


@dataclass(frozen=True, slots=True)
class _Outage:
    """One range without an owner.

    :ivar key: the key that was asked for first.
    :ivar state: state of its owner then. An owner that is out of reach is replaced by one that is
        not granted the key yet: for those who wait that is one outage.
    """

    service: str
    key: int
    state: OwnerState
    since_s: float


class OwnerOutages:
    """Tells whether a request waits for an owner of its key, and how long that is likely to take.

    An outage begins with the first request that finds it and ends when its key has an owner again.
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
        """Return a refusal where the next owner of the request's key is likely to be late for it.

        Waiting costs its caller the time to try again, so a request waits only while it is more
        likely than not to be answered within its limit.

        :param entry: a request for a key whose owner is not ready.
        """
        assert entry.key is not None
        owner = self._owners.find(entry.service, entry.key)
        left_s = self._left_s(entry.service, entry.key, owner)
        if self._clock.now() + left_s + self._service_s(owner, entry.service) <= entry.limit_s:
            return None
        return queue_refusals.no_owner(owner, left_s)

    def refusal(self, entry: WaitingRequest) -> Refusal:
        """Return the refusal of a request for a key without an owner, in time or not."""
        assert entry.key is not None
        owner = self._owners.find(entry.service, entry.key)
        return queue_refusals.no_owner(owner, self._left_s(entry.service, entry.key, owner))

    def close_ended(self) -> None:
        """Take note of the outages whose keys have an owner again; called when owners change."""
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
        """Return the seconds until a key whose owner is not ready is likely to be served again."""
        outage = self._open.get((service, owner.first))
        if outage is None:
            outage = _Outage(service, key, owner.state, self._clock.now())
            if len(self._open) < MAX_OPEN:
                self._open[service, owner.first] = outage
        expected_s = self._expected_left_s(outage.state, self._clock.now() - outage.since_s)
        # The keys of a server that rests may move before its rest is over, and need not after it.
        return min(expected_s, owner.rest_left_s) if owner.rest_left_s else expected_s

    def _service_s(self, owner: Owner, service: str) -> float:
        if owner.server is None:
            return self._server_stats.mean_service_time_s(service)
        return self._server_stats.service_time_s(owner.server)

    def _expected_left_s(self, state: OwnerState, age_s: float) -> float:
        left_s = sorted(each - age_s for each in self._lengths(state) if each > age_s)
        if left_s:
            return left_s[len(left_s) // 2]
        # It outlasts all that were seen: nothing says that it ends soon.
        return max(ASSUMED_S[state] - age_s, age_s)

    def _lengths(self, state: OwnerState) -> deque[float]:
        return self._lengths_s.setdefault(state, deque(maxlen=REMEMBERED))
