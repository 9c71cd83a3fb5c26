"""Selects the hub: the gateway of the zone that aggregates the reports of a process, if any.

A hub sends one report in place of its members' reports, which saves datagrams in large groups.
"""

from collections.abc import Callable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress, strength_rank
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable

COVERED_S = 0.5
"""Time after which a process leaves a hub that has not listed it, and reports to each peer."""

SETTLED_S = 0.4
"""Longest time until a hub's aggregate has reached all peers. Until then a process also reports to
each peer: for a moment its load counts twice, but it is never missing."""

FAILED_S = 3.0
"""Time for which a hub that failed is not selected again."""

LED_S = 20.0
"""Time for which a former leader reports to each peer: its successor waits for its report that it
follows a later epoch."""


class HubSelector:
    """Selects the live gateway of the zone with the most capacity that does not lead.

    Ties are decided by name. There is no election: a gateway aggregates the reports of those that
    selected it. Two hubs in a zone only cost datagrams, since each aggregates its own members.

    :param capacity: capacity of this machine as hub; 0: it is none.
    :param leader_node: returns the node that leads the control group.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        capacity: float,
        directory: PeerDirectory,
        table: PeerTable,
        leader_node: Callable[[], str],
        clock: Clock,
    ) -> None:
        self._node = node
        self._zone = zone
        self._capacity = capacity
        self._directory = directory
        self._table = table
        self._leader_node = leader_node
        self._clock = clock
        self._hub = ""
        self._chosen_s = 0.0
        self._uncovered_s = 0.0
        self._led_s = float("-inf")
        self._failed_until_s: dict[str, float] = {}

    def choose(self) -> PeerAddress | None:
        """Return the hub to report to; None: report to each peer. Called before each report."""
        now_s = self._clock.now()
        if self._leader_node() == self._node:
            self._led_s = now_s
        self._leave_failed_hub(now_s)
        hub = self._strongest(now_s) if self._may_join() else None
        name = "" if hub is None else hub.node
        if name != self._hub:
            log_message(message_type="hub:used", hub=name)
            self._hub = name
            self._chosen_s = self._uncovered_s = now_s
        if not self.is_covered():
            self._uncovered_s = now_s
        return hub

    def is_settled(self) -> bool:
        """Return whether the hub's aggregate with this process has reached all peers by now."""
        return self.is_covered() and self._clock.now() - self._uncovered_s > SETTLED_S

    def is_covered(self) -> bool:
        """Return whether the selected hub recently listed this process as a member."""
        listed_s = self._table.covered_time_s(self._hub)
        return bool(self._hub) and listed_s is not None and self._is_recent(listed_s)

    def has_led(self) -> bool:
        """Return whether this process leads, or led within LED_S."""
        return self._clock.now() - self._led_s <= LED_S

    def _may_join(self) -> bool:
        return self._directory.has_many() and not self.has_led() and not self._table.has_members()

    def _leave_failed_hub(self, now_s: float) -> None:
        if self._hub and not self.is_covered() and not self._is_recent(self._chosen_s):
            self._failed_until_s[self._hub] = now_s + FAILED_S
            log_message(message_type="hub:failed", level="WARNING", hub=self._hub)

    def _strongest(self, now_s: float) -> PeerAddress | None:
        own_rank = strength_rank(self._capacity, self._node)
        candidates = [
            each
            for each in self._directory.others()
            if each.zone == self._zone and each.capacity > 0 and each.rank() < own_rank
        ]
        return min(
            (each for each in candidates if self._is_eligible(each, now_s)),
            key=PeerAddress.rank,
            default=None,
        )

    def _is_eligible(self, peer: PeerAddress, now_s: float) -> bool:
        if peer.node == self._leader_node() or now_s < self._failed_until_s.get(peer.node, 0.0):
            return False
        heard_s = self._table.heard_time_s(peer.node)
        return heard_s is not None and self._is_recent(heard_s)

    def _is_recent(self, at_s: float) -> bool:
        return self._clock.now() - at_s <= COVERED_S
