"""Load of a broker's servers beyond the slots that it has granted."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.exchange.load_view import LoadView
from indigoworks.servers.self_reported_load import SelfReportedLoad

TAKEOVER_S = 0.25
"""Time for which a new broker also counts the gateways' reports, as it does not know the slots that
its predecessor granted. Most of these requests have ended by then; used for longer, reports, which
are 0.1 to 0.3 s old in large groups, would leave free slots unused."""


SERVER_LOAD_VALID_S = 0.2
"""Time for which a server's own load report counts: its load changes with every request or two."""


@dataclass(frozen=True, slots=True)
class _ExternalLoad:
    requests: int
    until_s: float


class ReportedLoad:
    """Implements `LoadView` for a broker.

    :param reported: returns a server's requests in flight as reported by all gateways, this one
        included.
    :param granted: returns the slots that this broker has granted at a server.
    """

    def __init__(
        self,
        reported: Callable[[str], int],
        peers: LoadView,
        granted: Callable[[str], int],
        clock: Clock,
    ) -> None:
        self._reported = reported
        self._peers = peers
        self._granted = granted
        self._clock = clock
        self._takeover_began_s = clock.now()
        self._is_taking_over = True
        self._external: dict[str, _ExternalLoad] = {}
        self._peer_times_s: dict[str, float | None] = {}

    def start_takeover(self) -> None:
        """Count reported requests for TAKEOVER_S: this process begins to act as broker."""
        self._takeover_began_s = self._clock.now()
        self._is_taking_over = True

    def refresh(self) -> None:
        """End the takeover when it is due, and discard the cached service times of peers.

        They are cached because averaging over all peers for each server and request takes some 10 %
        of a broker's processor time in a group of about 80.
        """
        self._peer_times_s.clear()
        if self._clock.now() - self._takeover_began_s > TAKEOVER_S:
            self._is_taking_over = False

    def record_server_load(self, server_id: str, server_load: SelfReportedLoad) -> None:
        """Record a server's own report: its requests beyond the granted slots come from others."""
        requests = server_load.running + server_load.waiting - self._granted(server_id)
        if requests > 0:
            self._external[server_id] = _ExternalLoad(
                requests, self._clock.now() + SERVER_LOAD_VALID_S
            )
        else:
            self._external.pop(server_id, None)

    def remove(self, server_id: str) -> None:
        """Remove the load of a server that is no longer listed."""
        self._external.pop(server_id, None)

    def in_flight(self, server_id: str) -> int:
        """Return the known requests in flight that have no slot of this broker."""
        if self._is_taking_over:
            return max(0, self._reported(server_id) - self._granted(server_id))
        external = self._external.get(server_id)
        if external is None or self._clock.now() >= external.until_s:
            return 0
        return external.requests

    def service_s(self, server_id: str) -> float | None:
        """Return the service time measured by peers, in seconds, or None if there is none."""
        if server_id not in self._peer_times_s:
            self._peer_times_s[server_id] = self._peers.service_s(server_id)
        return self._peer_times_s[server_id]

    def load_age_s(self) -> float:
        """Return 0: granted slots are counted as they are granted."""
        return 0.0
