"""Selects the gateway that grants the slots of a service's servers in a zone."""

from collections.abc import Callable

import xxhash

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

MAX_SILENCE_S = 0.5
"""A gateway from which nothing was received for longer is not selected as broker."""

MAX_SILENCE_LARGE_GROUP_S = 1.0
"""MAX_SILENCE_S for a large group, see PeerDirectory.has_many. Its gateways report through hubs, or
without a hub every 0.6 s. With a shorter time each gateway would see no other between reports and
would select itself as broker."""

MAX_UNANSWERED = 3
"""Consecutive unanswered requests after which a broker is excluded. Not fewer: a broker that is
busy for a moment is still the one that knows what runs at its servers."""

EXCLUSION_S = 1.0
"""Time for which an excluded broker is not selected."""

CHOICE_CACHE_S = 0.2
"""Time for which a selection is cached. Selecting checks every known gateway, which at 0.05 s
takes some 4 % of a gateway's processor time in a group of about 80."""

MIN_CAPACITY_SHARE = 0.5
"""Gateways with less than this share of the highest capacity in the zone do not act as brokers; the
others are selected for about the same number of services each."""


class BrokerSelector:
    """Selects brokers by rendezvous hashing, so that gateways with the same peers agree.

    Candidates are gateways with a capacity above 0, in the servers' zone if there are any there; if
    no such gateway is eligible, those without capacity.

    Brokers are not elected: any gateway that receives a request acts as broker. While gateways see
    different peers, two brokers may act for the same servers. These servers may then get more
    requests than they have slots, and refuse those that they cannot run.

    A gateway's capacity is that of its machine, in processor cores; see PeerAddress.

    :param own: address of this process.
    :param may_act: returns whether this process may act as broker.
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
        """Return the gateway to request slots from, or None if there is none.

        None before this process knows any group member: it cannot know which broker others use.
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
        """Record that a broker has replied."""
        self._unanswered.pop(node, None)

    def record_unanswered(self, node: str) -> bool:
        """Record that a broker did not answer a request; return whether it is now excluded."""
        unanswered = self._unanswered[node] = self._unanswered.get(node, 0) + 1
        if unanswered < MAX_UNANSWERED:
            return False
        self.exclude(node)
        return True

    def exclude(self, node: str) -> None:
        """Do not select this broker for EXCLUSION_S."""
        self._unanswered.pop(node, None)
        self._excluded_until_s[node] = self._clock.now() + EXCLUSION_S
        self._chosen.clear()

    def _choose(self, service: str, zone: str) -> PeerAddress | None:
        known = [*self._directory.others()]
        if self._may_act():
            known.append(self._own)
        strong = [each for each in known if each.capacity > 0 and self._is_eligible(each)]
        eligible = strong or [each for each in known if self._is_eligible(each)]
        if not eligible:
            return None
        in_zone = [each for each in eligible if each.zone == zone] or eligible
        strongest = max(each.capacity for each in in_zone)
        candidates = [each for each in in_zone if each.capacity >= MIN_CAPACITY_SHARE * strongest]
        return min(candidates, key=lambda each: _digest(service, zone, each.node))

    def _is_eligible(self, peer: PeerAddress) -> bool:
        """Tell whether a gateway is live and not excluded; this process always is eligible."""
        if peer is self._own:
            return True
        now_s = self._clock.now()
        if now_s < self._excluded_until_s.get(peer.node, 0.0):
            return False
        heard_s = self._peers.heard_time_s(peer.node)
        if heard_s is None:
            return False
        max_silence_s = MAX_SILENCE_LARGE_GROUP_S if self._directory.has_many() else MAX_SILENCE_S
        return now_s - heard_s <= max_silence_s


def _digest(service: str, zone: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}/{zone}/{node}".encode())
