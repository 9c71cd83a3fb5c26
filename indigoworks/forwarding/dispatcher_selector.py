"""Selects the gateway that sends all requests for the keys of a server."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import xxhash
from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

MAX_SILENCE_S = 1.0
"""A gateway from which nothing was received for longer is not selected. Gateways of a large group
report through hubs, or without a hub every 0.6 s."""

CANDIDATES_CACHE_S = 0.2
"""Time for which the candidates of a zone are cached. Without the cache each request would check
all gateways of the zone."""

EXCLUSION_S = 1.0
"""Time for which a gateway is not selected after it declined a request or was not reached."""

MIN_CAPACITY_SHARE = 0.5
"""Gateways with less than this share of the highest capacity among the candidates are not selected;
the others are selected for about the same number of servers each."""

ALL_SERVERS = ""
"""Server id of an exclusion that applies to every server."""


@dataclass(slots=True)
class _Candidates:
    """Candidates of a zone, and those selected among them so far, by server id."""

    peers: Sequence[PeerAddress]
    until_s: float
    selected: dict[str, PeerAddress | None] = field(default_factory=dict)


class DispatcherSelector:
    """Selects dispatchers by rendezvous hashing of the server id.

    Candidates are the gateways heard recently, in the server's zone, or in any zone if there is
    none there, with at least half of the highest capacity among them. Gateways that hear the same
    peers agree. A selection is computed once for each server, and again when the candidates change.

    Dispatchers are not elected: while gateways hear different peers, two may act for one server.

    :param own: address of this process.
    :param may_act: returns whether this process may act as dispatcher.
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
        self._candidates: dict[str, _Candidates] = {}
        self._excluded_until_s: dict[tuple[str, str], float] = {}

    def dispatcher(self, server_id: str, zone: str) -> PeerAddress | None:
        """Return the dispatcher of a server; None in a small group, or if there is no candidate.

        :param zone: zone of the server.
        """
        if not self._directory.has_many():
            return None
        candidates = self._current(zone)
        if server_id in candidates.selected:
            return candidates.selected[server_id]
        selected = self._select(server_id, candidates.peers)
        candidates.selected[server_id] = selected
        return selected

    def is_own(self, server_id: str, zone: str) -> bool:
        """Return whether this process is the dispatcher of a server."""
        selected = self.dispatcher(server_id, zone)
        return selected is not None and selected.node == self._own.node

    def is_silent(self, node: str) -> bool:
        """Return whether a gateway was not heard recently."""
        heard_s = self._peers.heard_time_s(node)
        return heard_s is None or self._clock.now() - heard_s > MAX_SILENCE_S

    def exclude(self, node: str, server_id: str = ALL_SERVERS) -> None:
        """Do not select a gateway for EXCLUSION_S, for one server or for all."""
        self._excluded_until_s[node, server_id] = self._clock.now() + EXCLUSION_S
        for each in self._candidates.values():
            each.until_s = float("-inf")
            each.selected.clear()

    # ---- helpers ----

    def _current(self, zone: str) -> _Candidates:
        """Return the candidates of a zone, at most CANDIDATES_CACHE_S old."""
        now_s = self._clock.now()
        known = self._candidates.get(zone)
        if known is not None and now_s < known.until_s:
            return known
        self._drop_ended_exclusions(now_s)
        peers = self._find(zone)
        until_s = now_s + CANDIDATES_CACHE_S
        if known is not None and known.peers == peers:
            known.until_s = until_s
            return known
        if known is not None:
            self._log(zone, peers)
        found = self._candidates[zone] = _Candidates(peers, until_s)
        return found

    def _find(self, zone: str) -> list[PeerAddress]:
        known = [*self._directory.others()]
        if self._may_act():
            known.append(self._own)
        known.sort(key=PeerAddress.rank)
        in_zone = [each for each in known if each.zone == zone and each.capacity > 0]
        return self._strongest(in_zone) or self._strongest(known)

    def _strongest(self, ranked: Sequence[PeerAddress]) -> list[PeerAddress]:
        """Return the eligible gateways with at least half of the capacity of the strongest one."""
        found: list[PeerAddress] = []
        for each in ranked:
            if found and each.capacity < MIN_CAPACITY_SHARE * found[0].capacity:
                break
            if self._is_eligible(each):
                found.append(each)
        return found

    def _is_eligible(self, peer: PeerAddress) -> bool:
        if peer is self._own:
            return True
        return not self._is_excluded(peer.node, ALL_SERVERS) and not self.is_silent(peer.node)

    def _select(self, server_id: str, peers: Sequence[PeerAddress]) -> PeerAddress | None:
        allowed = [each for each in peers if not self._is_excluded(each.node, server_id)]
        return min(allowed, key=lambda each: _digest(server_id, each.node), default=None)

    def _is_excluded(self, node: str, server_id: str) -> bool:
        until_s = self._excluded_until_s.get((node, server_id))
        return until_s is not None and self._clock.now() < until_s

    def _drop_ended_exclusions(self, now_s: float) -> None:
        ended = [each for each, until_s in self._excluded_until_s.items() if until_s <= now_s]
        for name in ended:
            del self._excluded_until_s[name]
        if ended:
            for each in self._candidates.values():
                each.selected.clear()

    def _log(self, zone: str, peers: Sequence[PeerAddress]) -> None:
        """Log changed candidates, with the time since each was heard."""
        now_s = self._clock.now()
        heard_s = {each.node: self._peers.heard_time_s(each.node) for each in peers}
        log_message(
            message_type="dispatcher:candidates",
            zone=zone,
            candidates={
                node: None if at_s is None else round(now_s - at_s, 3)
                for node, at_s in heard_s.items()
            },
            excluded=[node for node, _ in self._excluded_until_s],
        )


def _digest(server_id: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f"{server_id}/{node}".encode())
