"""How long a process waits before it challenges a lost leader."""

from random import Random

from indigoworks.exchange.peer_address import strength_rank
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

RANK_S = 0.15
"""Time between two challengers that hear each other: a sound store answers a write well within."""

MAX_RANK = 8
"""Those behind wait no longer than the one of this rank: all before it may be without the store."""

JITTER_S = 0.15
"""Challengers of the same rank, which do not hear each other, are spread over so long."""

WEAK_S = 0.6
"""A machine without capacity to spare lets others go first by so much more."""

BACK_OFF_S = 0.25
"""After a challenge that got no answer or was refused by a busy store, up to so long is added;
twice as much after the next."""

MAX_BACK_OFF_S = 2.0


class ChallengeDelay:
    """The fittest that is heard goes first, so that seldom two write at once.

    Nobody appoints a successor: each process ranks itself among the peers it hears, by the capacity
    of their machines, then by name. A leader grants all ranges of its group again and again, which
    is more than a small machine can do in a large group; and a slow store that all challenge at
    once refuses them all.

    :param capacity: what this machine has to spare, in processor cores; 0: nothing.
    """

    def __init__(
        self, node: str, capacity: float, peers: PeerView, directory: PeerDirectory, random: Random
    ) -> None:
        self._node = node
        self._capacity = capacity
        self._peers = peers
        self._directory = directory
        self._random = random
        self._failures = 0

    def record_outcome(self, is_failed: bool) -> None:
        """Take the outcome of a challenge; `is_failed`: the store did not decide it."""
        self._failures = self._failures + 1 if is_failed else 0

    def wait_s(self, lost_node: str) -> float:
        """Return how long to wait before a challenge, in seconds.

        :param lost_node: the leader that is challenged; it may still be heard.
        """
        rank = min(self._rank(lost_node), MAX_RANK)
        weak_s = WEAK_S if self._is_weak() else 0.0
        jitter_s = self._random.uniform(0.0, JITTER_S)
        return rank * RANK_S + weak_s + jitter_s + self._back_off_s()

    def may_skip_delay(self) -> bool:
        """Tell whether this machine may lead again at once after a restart."""
        return not self._is_weak()

    def _rank(self, lost_node: str) -> int:
        capacities = {each.node: each.capacity for each in self._directory.others()}
        own = strength_rank(self._capacity, self._node)
        heard = {each.node for each in self._peers.live_reports()} - {lost_node, self._node}
        return sum(1 for node in heard if strength_rank(capacities.get(node, 0.0), node) < own)

    def _is_weak(self) -> bool:
        """Tell whether a stronger machine is known, or none at all yet."""
        others = list(self._directory.others())
        return self._capacity <= 0 and (not others or any(each.capacity > 0 for each in others))

    def _back_off_s(self) -> float:
        if not self._failures:
            return 0.0
        longest_s = min(BACK_OFF_S * 2 ** (self._failures - 1), MAX_BACK_OFF_S)
        return self._random.uniform(0.0, longest_s)
