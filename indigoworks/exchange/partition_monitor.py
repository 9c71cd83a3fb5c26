"""Detects that this process may be cut off from members of the group."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.rowstore.row import Row

HEARD_S = 0.5
"""Time without a report after which a member counts as missing."""

HEARD_OF_MANY_S = 1.0
"""HEARD_S in a group that is large enough for hubs. Before it has hubs, and when they fail, its
gateways report every 0.6 s."""

GONE_S = 600.0
"""Time without a report after which a member counts as removed: the rows of machines that left stay
in the store."""


SHARE_CACHE_S = 0.1
"""Time for which a computed share is reused, since it takes a check of each member."""


class PartitionMonitor:
    """Compares the members that the store lists with those whose reports arrive.

    While a member is missing, state that the group keeps only in messages, such as a broker's locks
    and granted slots, is not valid for the whole group: each side of a partition may have a broker
    of its own.
    """

    def __init__(self, directory: PeerDirectory, peers: PeerView, clock: Clock) -> None:
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._listed_s: dict[str, float] = {}
        self._share = 1.0
        self._share_until_s = float("-inf")

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Record when members were first listed; the directory must have applied the rows."""
        if not any(row.key.startswith(PEER_PREFIX) for row in rows):
            return
        now_s = self._clock.now()
        nodes = [each.node for each in self._directory.others()]
        self._listed_s = {each: self._listed_s.get(each, now_s) for each in nodes}

    def is_partitioned(self) -> bool:
        """Return whether a member is missing that may still run."""
        return any(self._is_missing(each) for each in self._listed_s)

    def heard_share(self) -> float:
        """Return which share of the members that may run is heard, this process included."""
        now_s = self._clock.now()
        if now_s >= self._share_until_s:
            self._share_until_s = now_s + SHARE_CACHE_S
            missing = sum(map(self._is_missing, self._listed_s))
            gone = sum(self._silence_s(each) >= GONE_S for each in self._listed_s)
            members = 1 + len(self._listed_s) - gone
            self._share = (members - missing) / members
        return self._share

    def _is_missing(self, node: str) -> bool:
        max_silence_s = HEARD_OF_MANY_S if self._directory.has_many() else HEARD_S
        return max_silence_s < self._silence_s(node) < GONE_S

    def _silence_s(self, node: str) -> float:
        heard_s = self._peers.heard_time_s(node)
        listed_s = self._listed_s[node]
        return self._clock.now() - (listed_s if heard_s is None else max(heard_s, listed_s))
