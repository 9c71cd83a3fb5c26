"""Whether members of the group may not hear this process."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.rowstore.row import Row

HEARD_S = 0.5
"""A member must have been heard within this time."""

HEARD_OF_MANY_S = 1.0
"""The same in a group that is large enough for hubs: before it has them, and where they fail, its
gateways report each 0.6 s."""

GONE_S = 600.0
"""A member that has been silent for longer has left for good: rows of machines that left stay in
the store."""


KEPT_S = 0.1
"""A share is used again for so long: it takes a look at each member."""


class PartitionMonitor:
    """Compares the members that the store lists with those that are heard.

    What the members keep together by messages alone has no sum while it says so: each part of a cut
    group has a keeper of its own.
    """

    def __init__(self, directory: PeerDirectory, peers: PeerView, clock: Clock) -> None:
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._listed_s: dict[str, float] = {}
        self._share = 1.0
        self._share_until_s = float("-inf")

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Take note of when members were listed first; the directory has taken the rows already."""
        if not any(row.key.startswith(PEER_PREFIX) for row in rows):
            return
        now_s = self._clock.now()
        nodes = [each.node for each in self._directory.others()]
        self._listed_s = {each: self._listed_s.get(each, now_s) for each in nodes}

    def is_partitioned(self) -> bool:
        """Tell whether a member is not heard that may still run."""
        return any(self._is_missed(each) for each in self._listed_s)

    def heard_share(self) -> float:
        """Return the share of the members that may run which are heard, this process included."""
        now_s = self._clock.now()
        if now_s >= self._share_until_s:
            self._share_until_s = now_s + KEPT_S
            missed = sum(map(self._is_missed, self._listed_s))
            gone = sum(self._silence_s(each) >= GONE_S for each in self._listed_s)
            members = 1 + len(self._listed_s) - gone
            self._share = (members - missed) / members
        return self._share

    def _is_missed(self, node: str) -> bool:
        within_s = HEARD_OF_MANY_S if self._directory.has_many() else HEARD_S
        return within_s < self._silence_s(node) < GONE_S

    def _silence_s(self, node: str) -> float:
        heard_s = self._peers.heard_time_s(node)
        listed_s = self._listed_s[node]
        return self._clock.now() - (listed_s if heard_s is None else max(heard_s, listed_s))
