"""How long a process waits before it challenges a lost leader."""

from random import Random

from indigoworks.exchange.peer_address import strength_rank
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

RANK_DELAY_S = 0.15
"""Delay between challengers of successive ranks; a healthy store answers a write well within it."""

MAX_RANK = 8
"""Processes ranked lower wait no longer: all those before them may have lost the store."""

JITTER_S = 0.15
"""Random extra delay that spreads challengers of equal rank, which do not hear each other."""

WEAK_MACHINE_DELAY_S = 0.6
"""Extra delay of a machine without spare capacity."""

BACKOFF_S = 0.25
"""Longest random backoff after a challenge that the store did not answer or refused because it was
busy; doubles with each further failure."""

MAX_BACKOFF_S = 2.0


class ChallengeDelay:
    """Lets the strongest live process challenge first, so that concurrent challenges are rare.

    Each process ranks itself among the peers it hears, by the capacity of their machines, then by
    name. A leader renews the grants of all ranges of its group, which is too much for a small
    machine in a large group; and a slow store refuses all challenges if all arrive at once.

    :param capacity: spare capacity of this machine, in processor cores; 0: none.
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
        """Record the outcome of a challenge; `is_failed`: the store did not decide it."""
        self._failures = self._failures + 1 if is_failed else 0

    def wait_s(self, lost_node: str) -> float:
        """Return how long to wait before a challenge, in seconds.

        :param lost_node: the leader that is challenged; peers may still hear it.
        """
        rank = min(self._rank(lost_node), MAX_RANK)
        weak_s = WEAK_MACHINE_DELAY_S if self._is_weak() else 0.0
        jitter_s = self._random.uniform(0.0, JITTER_S)
        return rank * RANK_DELAY_S + weak_s + jitter_s + self._backoff_s()

    def may_skip_delay(self) -> bool:
        """Return whether this process may retake its earlier run's leadership without delay."""
        return not self._is_weak()

    def _rank(self, lost_node: str) -> int:
        capacities = {each.node: each.capacity for each in self._directory.others()}
        own = strength_rank(self._capacity, self._node)
        heard = {each.node for each in self._peers.live_reports()} - {lost_node, self._node}
        return sum(1 for node in heard if strength_rank(capacities.get(node, 0.0), node) < own)

    def _is_weak(self) -> bool:
        """Return whether this machine has no spare capacity while another has some.

        Also if no other machine is known yet: one may have some.
        """
        others = list(self._directory.others())
        return self._capacity <= 0 and (not others or any(each.capacity > 0 for each in others))

    def _backoff_s(self) -> float:
        if not self._failures:
            return 0.0
        longest_s = min(BACKOFF_S * 2 ** (self._failures - 1), MAX_BACKOFF_S)
        return self._random.uniform(0.0, longest_s)
