"""Which gateway of the zone a process asks for changed rows, if any."""

from collections.abc import Callable

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress, strength_rank
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

HEARD_S = 1.0
"""A relay must have been heard within this time."""

FAILED_S = 3.0
"""A relay that failed is left alone for so long."""

ASKED_S = 3.0
"""A process acts as relay for so long after it was asked last."""


PROBE_WAIT_S = 2.0
"""Longest wait of the feed that probes the path to the store. A path that was cut is noticed so
much later at most, well within the time that leaving servers and new configurations leave."""

RELAY_PROBE_WAIT_S = 0.7
"""The same at a relay, and of questions to a relay: two stand one behind the other."""


MIN_LINK_MBIT = 50.0
"""A machine with a slower link is no relay: rows for a whole zone would hold its requests up."""


def relay_capacity(cores: float, link_mbit: float) -> float:
    """Return the capacity that a machine offers as relay; 0: none."""
    return cores if link_mbit >= MIN_LINK_MBIT else 0.0


class RelayChoice:
    """The strongest gateway of the zone that is heard and does not lead; ties go by name.

    Nobody appoints a relay: each process chooses by itself, and whoever is asked answers. Two
    relays at once, or none, cost calls and nothing else.

    :param capacity: of this process's machine, see `relay_capacity`.
    :param leader_node: returns the node that leads the control group; it asks the store itself.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        capacity: float,
        directory: PeerDirectory,
        peers: PeerView,
        leader_node: Callable[[], str],
        clock: Clock,
    ) -> None:
        self._node = node
        self._zone = zone
        self._capacity = capacity
        self._directory = directory
        self._peers = peers
        self._leader_node = leader_node
        self._clock = clock
        self._failed_until_s: dict[str, float] = {}
        self._asked_s = float("-inf")

    def relay(self) -> PeerAddress | None:
        """Return the gateway to ask; None: ask the store."""
        if not self._directory.has_many() or self._leader_node() == self._node:
            return None
        strongest = min(
            (each for each in self._directory.others() if self._is_candidate(each)),
            key=PeerAddress.rank,
            default=None,
        )
        if strongest is None or strongest.rank() > strength_rank(self._capacity, self._node):
            return None
        if self._clock.now() < self._failed_until_s.get(strongest.node, 0.0):
            return None
        return strongest

    def gateway_count(self) -> int:
        """Return the number of gateways that are known, this one included."""
        return 1 + self._directory.count_others()

    def note_failure(self, node: str) -> None:
        """Leave a relay alone for a while."""
        self._failed_until_s[node] = self._clock.now() + FAILED_S

    def note_asked(self) -> None:
        """Take note that another gateway asked this one."""
        self._asked_s = self._clock.now()

    def is_acting(self) -> bool:
        """Tell whether other gateways rely on this one."""
        return self._clock.now() - self._asked_s < ASKED_S

    def probe_wait_s(self) -> float:
        """Return the longest wait of the feed that probes the path to the store."""
        is_relayed = self.is_acting() or self.relay() is not None
        return RELAY_PROBE_WAIT_S if is_relayed else PROBE_WAIT_S

    def _is_candidate(self, peer: PeerAddress) -> bool:
        if peer.capacity == 0 or peer.zone != self._zone or peer.node == self._leader_node():
            return False
        heard_s = self._peers.heard_time_s(peer.node)
        return heard_s is not None and self._clock.now() - heard_s <= HEARD_S
