"""Which gateways hubs sum up."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_report import PeerReport, node_checksum
from indigoworks.exchange.server_load import ServerLoad

REMEMBERED_REPORTS = 64
"""Own reports that are remembered: more than a process sends while a hub's sums count."""


class MemberList:
    """Members as the hubs list them; of this process also which report the hub's sums hold.

    :param live_s: a list counts for so long.
    """

    def __init__(self, own_node: str, clock: Clock, live_s: float) -> None:
        self._own_checksum = node_checksum(own_node)
        self._clock = clock
        self._live_s = live_s
        self._listed_s: dict[int, float] = {}
        self._covered_s: dict[str, float] = {}
        self._sent: dict[int, tuple[float, tuple[ServerLoad, ...]]] = {}

    def record_sent(self, sequence: int, loads: tuple[ServerLoad, ...]) -> None:
        """Remember a report to a hub."""
        self._sent[sequence] = self._clock.now(), loads
        while len(self._sent) > REMEMBERED_REPORTS:
            del self._sent[next(iter(self._sent))]

    def record_report(self, report: PeerReport, age_s: float) -> tuple[ServerLoad, ...]:
        """Take a newer report; return what of this process is in its sums."""
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
        """Return when the newest own report was sent that is in the sums `hub` itself sent here.

        None: there is none. So a link that is cut in either direction shows.
        """
        return self._covered_s.get(hub)

    def listed_time_s(self, node: str) -> float | None:
        """Return when a hub last listed `node`; None: never."""
        return self._listed_s.get(node_checksum(node))

    def is_listed(self, node: str) -> bool:
        """Tell whether `node` was listed of late."""
        return self._is_live(node_checksum(node))

    def count_live(self, heard: Iterable[str]) -> int:
        """Return the number of peers that are listed or among `heard`."""
        listed = {each for each in self._listed_s if self._is_live(each)}
        return len((listed | set(map(node_checksum, heard))) - {self._own_checksum})

    def _is_live(self, member: int) -> bool:
        listed_s = self._listed_s.get(member)
        return listed_s is not None and self._clock.now() - listed_s <= self._live_s
