"""Which gateway grants the slots of a service's servers in a zone."""

from collections.abc import Callable

import xxhash

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

MAX_SILENCE_S = 0.5
"""A broker must have been heard within this time."""

MAX_SILENCE_LARGE_GROUP_S = 1.0
"""The same in a group that is large enough for hubs: before it has them, and where they fail, its
gateways report each 0.6 s. With a shorter time each of them hears nobody in between, and is broker
to itself."""

MAX_UNANSWERED = 3
"""A broker is left after so many requests in a row that it did not answer: one that was busy for a
moment is still the one that knows what runs at its servers."""

EXCLUSION_S = 1.0
"""A broker that was left is not asked for so long."""

CHOICE_CACHE_S = 0.2
"""A choice is used again for so long: it takes a look at each known gateway, which at 79 and each
0.05 s took 4 % of the time of a gateway on a weak machine (profile of 24 s)."""

MIN_CAPACITY_SHARE = 0.5
"""Brokers are machines with at least this share of the capacity of the strongest one of the zone:
each of these takes about the same number of services. An estimate, not measured."""


class BrokerSelector:
    """The same gateway for all who hear the same ones: the first by rendezvous hashing among the
    strong machines of the servers' zone, or of all zones where that one has none; among the weak
    ones where all are weak.

    Nobody appoints a broker: whoever is asked acts. While two act for the same servers, as long as
    gateways hear different peers, these may get more requests than they have slots; what they do
    not run they turn away.

    :param own: address of this process.
    :param may_act: tells whether this process may be broker itself.
    """

    def __init__(
        self,
        own: PeerAddress,
        may_act: Callable[[], bool],
        directory: PeerDirectory,
        peers: PeerView,
        clock: Clock,
    ) -> None:
        self._own = own
        self._may_act = may_act
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._unanswered: dict[str, int] = {}
        self._excluded_until_s: dict[str, float] = {}
        self._chosen: dict[tuple[str, str], tuple[float, PeerAddress | None]] = {}

    def broker(self, service: str, zone: str) -> PeerAddress | None:
        """Return the gateway to ask for slots; None: there is none.

        A gateway that has read no member of the group yet does not know whom others ask.
        """
        if not self._directory.has_any():
            return None
        now_s = self._clock.now()
        known = self._chosen.get((service, zone))
        if known is not None and now_s - known[0] < CHOICE_CACHE_S:
            return known[1]
        chosen = self._choose(service, zone)
        self._chosen[service, zone] = (now_s, chosen)
        return chosen

    def record_reply(self, node: str) -> None:
        """Take note that a broker has answered."""
        self._unanswered.pop(node, None)

    def record_unanswered(self, node: str) -> bool:
        """Take note that a broker left a request unanswered. Returns whether it is left now."""
        silences = self._unanswered[node] = self._unanswered.get(node, 0) + 1
        if silences < MAX_UNANSWERED:
            return False
        self.exclude(node)
        return True

    def exclude(self, node: str) -> None:
        """Ask another gateway for a while."""
        self._unanswered.pop(node, None)
        self._excluded_until_s[node] = self._clock.now() + EXCLUSION_S
        self._chosen.clear()

    def _choose(self, service: str, zone: str) -> PeerAddress | None:
        known = [*self._directory.others()]
        if self._may_act():
            known.append(self._own)
        strong = [each for each in known if each.capacity > 0 and self._is_eligible(each)]
        able = strong or [each for each in known if self._is_eligible(each)]
        if not able:
            return None
        near = [each for each in able if each.zone == zone] or able
        strongest = max(each.capacity for each in near)
        equals = [each for each in near if each.capacity >= MIN_CAPACITY_SHARE * strongest]
        return min(equals, key=lambda each: _digest(service, zone, each.node))

    def _is_eligible(self, peer: PeerAddress) -> bool:
        """Tell whether a gateway was heard of late and not left; this process always is."""
        if peer is self._own:
            return True
        now_s = self._clock.now()
        if now_s < self._excluded_until_s.get(peer.node, 0.0):
            return False
        heard_s = self._peers.heard_time_s(peer.node)
        if heard_s is None:
            return False
        within_s = MAX_SILENCE_LARGE_GROUP_S if self._directory.has_many() else MAX_SILENCE_S
        return now_s - heard_s <= within_s


def _digest(service: str, zone: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}/{zone}/{node}".encode())
