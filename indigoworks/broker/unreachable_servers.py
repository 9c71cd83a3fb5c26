"""Servers that several gateways report as unreachable."""

from indigoworks.common.clock import Clock
from indigoworks.gateway.server_stats import ServerStats

MIN_REPORTERS = 2
"""Number of gateways that must report a server as unreachable before it is excluded: otherwise a
gateway that is itself isolated would exclude every server for all others."""

REPORT_VALID_S = 1.0
"""Time for which a report counts."""

EXCLUSION_S = 0.5
"""Time for which an unreachable server gets no requests; then it is tried again."""


class UnreachableServers:
    """Excludes servers for a while if several gateways could not connect to them."""

    def __init__(self, server_stats: ServerStats, clock: Clock) -> None:
        self._server_stats = server_stats
        self._clock = clock
        self._reports: dict[str, dict[str, float]] = {}
        self._until_s: dict[str, float] = {}

    def record_failure(self, server_id: str, reporter: str) -> None:
        """Record that a gateway could not connect to a server."""
        now_s = self._clock.now()
        reports = self._reports.setdefault(server_id, {})
        reports[reporter] = now_s
        recent = [each for each, at_s in reports.items() if now_s - at_s <= REPORT_VALID_S]
        if len(recent) >= MIN_REPORTERS:
            self._server_stats.down.set_down(server_id, True)
            self._until_s[server_id] = now_s + EXCLUSION_S

    def restore_excluded(self) -> None:
        """Restore servers whose exclusion has ended, and remove old reports."""
        now_s = self._clock.now()
        for server_id in [each for each, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[server_id]
            self._reports.pop(server_id, None)
            self._server_stats.down.set_down(server_id, False)
        for server_id, reports in list(self._reports.items()):
            if all(now_s - at_s > REPORT_VALID_S for at_s in reports.values()):
                del self._reports[server_id]
