"""Which gateway of the zone a process asks for changed rows, if any."""

from collections.abc import Callable, Collection

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress, strength_rank
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

HEARD_S = 1.0
"""A relay must have been heard within this time."""

FAILED_S = 3.0
"""A relay that failed is left alone for so long."""

ASKS_ANOTHER_S = 1.0
"""A gateway that asks another one itself is left alone for so long: within its own wait for an
answer (RELAY_PROBE_WAIT_S and a margin of 0.3 s) it notices whether the other one has failed."""

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


CUT_OFF_S = 0.5
"""After a trouble the store leaves a process without an answer for so long before another gateway
stands in: a slow store answers sooner, and the next call or two make up for a lost answer."""

MIN_ZONE_GATEWAYS = 3
"""In a small group a relay is asked only where it stands for so many gateways of its zone, itself
included: it probes the store three times as often as one that asks for itself alone, and for two
it would save nothing."""


class RelaySelector:
    """The strongest gateway of the zone that is heard and does not lead; ties go by name.

    Nobody appoints a relay: each process chooses by itself, and whoever is asked answers. Two
    relays at once, or none, cost calls and nothing else.

    Where the store turns this process away while it serves others, any gateway that is heard may
    stand in, the relays of other zones first.

    :param capacity: of this process's machine, see `relay_capacity`.
    :param leader_node: returns the node that leads the control group; it asks the store itself,
        but for tables of large rows where its link is slow.
    :param lost_for_s: returns for how long the store has left this process without answers.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        capacity: float,
        directory: PeerDirectory,
        peers: PeerView,
        leader_node: Callable[[], str],
        lost_for_s: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._node = node
        self._zone = zone
        self._capacity = capacity
        self._directory = directory
        self._peers = peers
        self._leader_node = leader_node
        self._lost_for_s = lost_for_s
        self._clock = clock
        self._failed_until_s: dict[str, float] = {}
        self._asked_s = float("-inf")

    def relay(self) -> PeerAddress | None:
        """Return the gateway to ask; None: ask the store."""
        if self.is_leading():
            return None
        relay = self._zone_relay()
        if relay is None and (self._is_cut_off() or self._leaves_store_to_stronger()):
            return self._stand_in()
        return relay

    def relay_for_large_rows(self, asked: Collection[str]) -> PeerAddress | None:
        """Return the gateway to ask for a table of large rows; None: ask the store.

        On a slow link the store is the last resort, since its answer is ten times as large. There a
        relay that failed lately is asked again after the others, as long as it is heard: perhaps
        our own link was full. A leader asks relays, too; what they say proves nothing for it.

        :param asked: gateways that have been asked for this already.
        """
        if not self.has_slow_link():
            relay = self.relay()
            return None if relay is None or relay.node in asked else relay
        candidates = (
            each
            for each in self._directory.others()
            if self._is_candidate(each) and each.node not in asked
        )
        return min(candidates, key=self._rank_for_large_rows, default=None)

    def _rank_for_large_rows(self, peer: PeerAddress) -> tuple[bool, bool, tuple[float, str]]:
        return self._has_failed(peer), peer.zone != self._zone, peer.rank()

    def has_slow_link(self) -> bool:
        """Tell whether the link of this machine is too slow for a relay."""
        return self._capacity == 0

    def is_leading(self) -> bool:
        """Tell whether this process leads."""
        return self._leader_node() == self._node

    def _is_cut_off(self) -> bool:
        """Tell whether the store leaves this process without answers."""
        return self._lost_for_s() > CUT_OFF_S

    def _leaves_store_to_stronger(self) -> bool:
        """Tell whether this is one of many gateways that ask stronger ones in place of the store.

        Where the store turns the strongest gateways of its zone away, or there are none, the whole
        zone would else ask the store itself: 50 of 78 gateways made 1,660 calls in 8 s, counted by
        a log line for each call.
        """
        return self._directory.has_many() and self.has_slow_link()

    def _zone_relay(self) -> PeerAddress | None:
        """Return the relay of the own zone, if it has one and that did not fail lately.

        In a large group the next strongest is asked while the strongest has failed.
        """
        in_zone = (each for each in self._directory.others() if each.zone == self._zone)
        candidates = [each for each in in_zone if self._is_candidate(each)]
        if not candidates or not self._is_worth_it(len(candidates)):
            return None
        if self._directory.has_many():
            candidates = [each for each in candidates if not self._has_failed(each)]
        strongest = min(candidates, key=PeerAddress.rank, default=None)
        if strongest is None or strongest.rank() > strength_rank(self._capacity, self._node):
            return None
        return None if self._has_failed(strongest) else strongest

    def _stand_in(self) -> PeerAddress | None:
        """Return whom to ask where neither the store nor a relay of the own zone answers.

        The strongest of each zone go first: as relays these have asked the store most lately. One
        that is cut off itself says so at once and is left alone like any that failed.
        """
        candidates = [each for each in self._directory.others() if self._is_candidate(each)]
        rank_in_zone: dict[str, int] = {}
        chosen: PeerAddress | None = None
        chosen_rank = len(candidates)
        for each in sorted(candidates, key=PeerAddress.rank):
            rank = rank_in_zone.get(each.zone, 0)
            rank_in_zone[each.zone] = rank + 1
            if rank < chosen_rank and not self._has_failed(each):
                chosen, chosen_rank = each, rank
        return chosen

    def gateway_count(self) -> int:
        """Return the number of gateways that are known, this one included."""
        return 1 + self._directory.count_others()

    def record_failure(self, node: str) -> None:
        """Leave a relay alone for a while."""
        self._failed_until_s[node] = self._clock.now() + FAILED_S

    def record_unavailable(self, node: str) -> None:
        """Leave alone for a moment a gateway that asks another one itself.

        Where the strongest of a zone has failed, the next one finds so a little later than others.
        """
        self._failed_until_s[node] = self._clock.now() + ASKS_ANOTHER_S

    def record_request(self) -> None:
        """Take note that another gateway asked this one."""
        self._asked_s = self._clock.now()

    def is_acting(self) -> bool:
        """Tell whether other gateways rely on this one."""
        return self._clock.now() - self._asked_s < ASKED_S

    def probe_wait_s(self) -> float:
        """Return the longest wait of the feed that probes the path to the store."""
        return RELAY_PROBE_WAIT_S if self.is_relayed() else PROBE_WAIT_S

    def is_relayed(self) -> bool:
        """Tell whether this process is a relay or asks one."""
        return self.is_acting() or self.relay() is not None

    def _is_worth_it(self, candidate_count: int) -> bool:
        return self._directory.has_many() or candidate_count + 1 >= MIN_ZONE_GATEWAYS

    def _has_failed(self, peer: PeerAddress) -> bool:
        return self._clock.now() < self._failed_until_s.get(peer.node, 0.0)

    def _is_candidate(self, peer: PeerAddress) -> bool:
        if peer.capacity == 0 or peer.node == self._leader_node():
            return False
        heard_s = self._peers.heard_time_s(peer.node)
        return heard_s is not None and self._clock.now() - heard_s <= HEARD_S
