"""A follower's side of the quorum lease."""

from indigoworks.common.clock import Clock
from indigoworks.wire.control_pb2 import VoteRequest


class LeaderSupport:
    """The promise of a node to support no other leader until its lease on the own clock lapses."""

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._until_s = float("-inf")
        self._term = 0

    def renew(self, term: int) -> None:
        """Promise support to the leader of `term`, from now."""
        self._until_s = self._clock.now() + self._lease_s
        self._term = term

    def has_lapsed(self) -> bool:
        """Tell whether no promise binds this node."""
        return self._clock.now() >= self._until_s

    def may_support(self, request: VoteRequest) -> bool:
        """Tell whether the promise leaves this node free to support the candidate.

        A handover frees it only from the promise to the very leader that handed over: that leader
        of the term before has given up its lease for good before it asked for the handover.
        """
        if self.has_lapsed():
            return True
        return request.is_leadership_transfer and request.term == self._term + 1
