"""Selects the relay: the gateway that a process asks for changed rows, if any.

A relay follows the row store directly and serves the changed rows to other gateways of its zone.
"""

from collections import Counter
from collections.abc import Callable, Collection

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress, strength_rank
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

HEARD_S = 1.0
"""A relay must have sent a report within this time."""

FAILED_S = 3.0
"""Time for which a relay that failed is not selected."""

UNAVAILABLE_S = 1.0
"""Time for which a gateway is not selected that uses a relay itself. Within its own wait for a
response (RELAY_PROBE_WAIT_S and a margin of 0.3 s) it detects whether that one failed."""

ACTING_S = 3.0
"""Time for which a process counts as relay after the last request to it."""


PROBE_WAIT_S = 1.5
"""Longest wait of the feed that probes the path to the store. If all connections go silent at once,
it fails 1 s after this time, and all feeds are then reread over new connections: a gateway must
know of leaving servers and new configurations again within 3 s."""

WATCHERS = 2
"""Gateways of a group without relays that poll the operator's rows in short intervals; two, as one
may be cut off from the store."""

RELAY_PROBE_WAIT_S = 0.7
"""Longest wait of that feed at a relay, and of a request to a relay: the two waits add up."""


MIN_LINK_MBIT = 50.0
"""A machine with a slower link is no relay: the rows for a whole zone would delay its requests."""


def relay_capacity(cores: float, link_mbit: float) -> float:
    """Return the capacity that a machine offers as relay; 0: none."""
    return cores if link_mbit >= MIN_LINK_MBIT else 0.0


FIRST_RELAY_WAIT_S = 0.5
"""Time from the start of a process for which the first calls of its feeds wait for a relay. Peers
are heard 0.1 to 0.3 s after the start; without the wait every start costs three calls more."""

CUT_OFF_S = 0.5
"""Time without a response of the store after which another gateway is asked instead. A slow store
responds sooner, and the next call or two make up for a lost response."""

MIN_ZONE_GATEWAYS = 3
"""Least number of gateways in a zone, the relay included, for which a small group uses a relay. A
relay probes the store three times as often as a gateway that reads for itself alone, so for two it
would save nothing."""


class RelaySelector:
    """Selects the live gateway of the zone with the most capacity that does not lead.

    Ties are decided by name. There is no election: each process selects for itself, and any gateway
    serves the requests that it gets. Two relays at once, or none, only cost calls to the store.

    If the store refuses this process while it serves others, any live gateway may substitute for
    it, the relays of other zones first.

    :param capacity: of this process's machine, see `relay_capacity`.
    :param leader_node: returns the node that leads the control group. It reads the store directly,
        except for tables of large rows if its link is slow.
    :param lost_for_s: returns for how long the store has not responded to this process.
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
        self._started_s = clock.now()

    def relay(self) -> PeerAddress | None:
        """Return the relay to use; None: read the store directly."""
        if self.is_leading():
            return None
        relay = self._zone_relay()
        if relay is None and (self._is_cut_off() or self._prefers_relays_to_store()):
            return self._substitute() or self._leader_as_relay()
        return relay

    def relay_for_large_rows(self, asked: Collection[str]) -> PeerAddress | None:
        """Return the relay to use for a table of large rows; None: read the store directly.

        On a slow link the store is the last resort, since its response is ten times as large. A
        relay that failed recently is then tried after the others, as long as it is live: the
        failure may come from our own full link. A leader uses relays, too, but their responses are
        no proof of its leadership.

        :param asked: gateways that were tried for this read already.
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
        """Return whether the link of this machine is too slow for a relay."""
        return self._capacity == 0

    def awaits_first_relay(self) -> bool:
        """Return whether this process has just started and is about to hear of a relay.

        Only where the link is too slow for a relay: such a machine leaves the store to others.
        """
        if not self.has_slow_link() or self._clock.now() - self._started_s > FIRST_RELAY_WAIT_S:
            return False
        is_alone = self._directory.has_any() and not self._directory.has_many()
        return not is_alone and self.relay() is None

    def is_leading(self) -> bool:
        """Return whether this process leads."""
        return self._leader_node() == self._node

    def _is_cut_off(self) -> bool:
        """Return whether the store does not respond to this process."""
        return self._lost_for_s() > CUT_OFF_S

    def _prefers_relays_to_store(self) -> bool:
        """Return whether this gateway of a large group uses other zones' relays before the store.

        If the store refuses the relays of a zone, or the zone has none, the whole zone would
        otherwise read the store directly; 50 of 78 gateways then make 1,660 calls in 8 s.
        """
        return self._directory.has_many() and self.has_slow_link()

    def _zone_relay(self) -> PeerAddress | None:
        """Return the relay of the own zone, if it has one that did not fail recently.

        In a large group the candidate with the next most capacity replaces one that failed.
        """
        in_zone = (each for each in self._directory.others() if each.zone == self._zone)
        candidates = [each for each in in_zone if self._is_candidate(each)]
        if not candidates or not self._saves_calls(len(candidates)):
            return None
        if self._directory.has_many():
            candidates = [each for each in candidates if not self._has_failed(each)]
        strongest = min(candidates, key=PeerAddress.rank, default=None)
        if strongest is None or strongest.rank() > strength_rank(self._capacity, self._node):
            return None
        return None if self._has_failed(strongest) else strongest

    def _substitute(self) -> PeerAddress | None:
        """Return a gateway to use if neither the store nor a relay of the own zone responds.

        The gateways with the most capacity in each zone come first: as relays they have the newest
        responses of the store. One that is cut off itself refuses at once and is skipped for a
        while, like any that failed.
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

    def _leader_as_relay(self) -> PeerAddress | None:
        """Return the leader, which reads the store itself, if a large group has no other relay.

        Otherwise each weak gateway would read the store itself while it refuses the strong ones.
        """
        leader = self._directory.get(self._leader_node())
        if leader is None or leader.capacity == 0 or not self._directory.has_many():
            return None
        return leader if self._is_heard(leader) and not self._has_failed(leader) else None

    def gateway_count(self) -> int:
        """Return the number of known gateways, this one included."""
        return 1 + self._directory.count_others()

    def record_failure(self, node: str) -> None:
        """Do not select a relay for a while, after it failed."""
        self._failed_until_s[node] = self._clock.now() + FAILED_S

    def record_unavailable(self, node: str) -> None:
        """Do not select a gateway for a moment that reads through another one itself.

        When the relay of a zone has failed, its successor may detect that later than others.
        """
        self._failed_until_s[node] = self._clock.now() + UNAVAILABLE_S

    def record_request(self) -> None:
        """Record that another gateway sent a request to this one."""
        self._asked_s = self._clock.now()

    def is_acting(self) -> bool:
        """Return whether other gateways use this one as relay."""
        return self._clock.now() - self._asked_s < ACTING_S

    def is_watching(self) -> bool:
        """Return whether this gateway polls the operator's rows in short intervals.

        A poll whose connection has gone silent shows that only when its time is over. The others
        poll in long intervals, and read the rows again once a peer reports newer ones.
        """
        if self.is_acting():
            return True
        if self.relay() is not None or self._group_has_relays():
            return False
        heard = (each for each in self._directory.others() if self._is_heard(each))
        return sum(each.node < self._node for each in heard) < WATCHERS

    def _group_has_relays(self) -> bool:
        """Return whether any zone has so many gateways that one of them is a relay."""
        sizes = Counter(each.zone for each in self._directory.others() if self._is_candidate(each))
        if self._capacity > 0 and not self.is_leading():
            sizes[self._zone] += 1
        return any(self._saves_calls(size - 1) for size in sizes.values() if size > 1)

    def probe_wait_s(self) -> float:
        """Return the longest wait of the feed that probes the path to the store."""
        return RELAY_PROBE_WAIT_S if self.is_relayed() else PROBE_WAIT_S

    def is_relayed(self) -> bool:
        """Return whether this process is a relay or uses one."""
        return self.is_acting() or self.relay() is not None

    def _saves_calls(self, candidate_count: int) -> bool:
        return self._directory.has_many() or candidate_count + 1 >= MIN_ZONE_GATEWAYS

    def _has_failed(self, peer: PeerAddress) -> bool:
        return self._clock.now() < self._failed_until_s.get(peer.node, 0.0)

    def _is_candidate(self, peer: PeerAddress) -> bool:
        is_relay = peer.capacity > 0 and peer.node != self._leader_node()
        return is_relay and self._is_heard(peer)

    def _is_heard(self, peer: PeerAddress) -> bool:
        heard_s = self._peers.heard_time_s(peer.node)
        return heard_s is not None and self._clock.now() - heard_s <= HEARD_S
