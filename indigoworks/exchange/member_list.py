"""Members of the hubs: the gateways whose reports hubs aggregate."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_report import PeerReport, node_checksum
from indigoworks.exchange.server_load import ServerLoad

MAX_KEPT_REPORTS = 64
"""Number of own reports kept: more than a process sends while a hub's aggregate is live."""


class MemberList:
    """Members as the hubs list them, and which own report a hub's aggregate includes.

    :param live_s: time for which a hub's list counts.
    """

    def __init__(self, own_node: str, clock: Clock, live_s: float) -> None:
        self._own_checksum = node_checksum(own_node)
        self._clock = clock
        self._live_s = live_s
        self._listed_s: dict[int, float] = {}
        self._covered_s: dict[str, float] = {}
        self._sent: dict[int, tuple[float, tuple[ServerLoad, ...]]] = {}

    def record_sent(self, sequence: int, loads: tuple[ServerLoad, ...]) -> None:
        """Record a report that was sent to a hub."""
        self._sent[sequence] = self._clock.now(), loads
        while len(self._sent) > MAX_KEPT_REPORTS:
            del self._sent[next(iter(self._sent))]

    def record_report(self, report: PeerReport, age_s: float) -> tuple[ServerLoad, ...]:
        """Record a newer report; return the loads of this process that it includes."""
        at_s = self._clock.now() - age_s
        own_loads: tuple[ServerLoad, ...] = ()
        for member, sequence in report.members:
            self._listed_s[member] = max(at_s, self._listed_s.get(member, at_s))
            if member == self._own_checksum and sequence in self._sent:
                sent_s, own_loads = self._sent[sequence]
                if age_s == 0:
                    self._covered_s[report.node] = sent_s
        return own_loads

    def covered_time_s(self, hub: str) -> float | None:
        """Return when the newest own report was sent that a report of `hub` itself includes.

        None: there is none. A link to the hub that is cut in either direction is detected by this.
        """
        return self._covered_s.get(hub)

    def listed_time_s(self, node: str) -> float | None:
        """Return when a hub last listed `node`; None: never."""
        return self._listed_s.get(node_checksum(node))

    def is_listed(self, node: str) -> bool:
        """Return whether a hub listed `node` recently."""
        return self._is_live(node_checksum(node))

    def count_live(self, heard: Iterable[str]) -> int:
        """Return the number of peers that are listed or among `heard`."""
        listed = {each for each in self._listed_s if self._is_live(each)}
        return len((listed | set(map(node_checksum, heard))) - {self._own_checksum})

    def _is_live(self, member: int) -> bool:
        listed_s = self._listed_s.get(member)
        return listed_s is not None and self._clock.now() - listed_s <= self._live_s
