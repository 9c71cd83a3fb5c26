"""Servers that gateways could not connect to, as a broker is told."""

from indigoworks.common.clock import Clock
from indigoworks.gateway.server_stats import ServerStats

MIN_REPORTERS = 2
"""So many gateways must have failed to reach a server before it gets no work: one may be cut off
itself, and would take every server away from all others."""

REPORT_VALID_S = 1.0
"""What a gateway said counts for so long."""

REST_S = 0.5
"""A server that cannot be reached gets no work for so long; then it is tried again."""


class UnreachableServers:
    """Takes servers out of use for a while on the word of several gateways."""

    def __init__(self, server_stats: ServerStats, clock: Clock) -> None:
        self._server_stats = server_stats
        self._clock = clock
        self._reports: dict[str, dict[str, float]] = {}
        self._until_s: dict[str, float] = {}

    def record_failure(self, server_id: str, reporter: str) -> None:
        """Take note that a gateway could not connect to a server."""
        now_s = self._clock.now()
        tellers = self._reports.setdefault(server_id, {})
        tellers[reporter] = now_s
        recent = [each for each, at_s in tellers.items() if now_s - at_s <= REPORT_VALID_S]
        if len(recent) >= MIN_REPORTERS:
            self._server_stats.set_down(server_id, True)
            self._until_s[server_id] = now_s + REST_S

    def restore_rested(self) -> None:
        """Use those again that have rested long enough, and forget what was told long ago."""
        now_s = self._clock.now()
        for server_id in [each for each, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[server_id]
            self._reports.pop(server_id, None)
            self._server_stats.set_down(server_id, False)
        for server_id, tellers in list(self._reports.items()):
            if all(now_s - at_s > REPORT_VALID_S for at_s in tellers.values()):
                del self._reports[server_id]
