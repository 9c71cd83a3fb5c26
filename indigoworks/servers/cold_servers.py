"""Cold servers: slow for a while after their start, and limited to few requests a second."""

from collections.abc import Mapping
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.zone_evacuations import ZoneEvacuations


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit of a service's servers while they are cold.

    :ivar cold_s: seconds for which a server is cold after its start or an evacuation of its zone.
    :ivar requests_per_s: requests a second that it can take then, from all gateways together.
    """

    cold_s: float
    requests_per_s: float


class ColdServers:
    """Determines which servers are cold, by their own reports and by evacuations of their zones.

    Servers of a zone may be cold when its evacuation ends, and not all of them report it: each
    counts as cold for its service's `cold_s` from then on. Services without a limit have no cold
    servers.
    """

    def __init__(self, evacuations: ZoneEvacuations, clock: Clock) -> None:
        self._evacuations = evacuations
        self._clock = clock
        self._limits: Mapping[str, ColdLimit] = {}
        self._until_s: dict[str, float] = {}
        self._longest_s = 0.0

    def set_limits(self, limits: Mapping[str, ColdLimit]) -> None:
        """Set the limits, by name of the service."""
        self._limits = limits
        self._longest_s = max((each.cold_s for each in limits.values()), default=0.0)

    def record_reported(self, server_id: str, left_s: float) -> None:
        """Record how much longer a server reports to be cold; 0: it is not."""
        if left_s > 0:
            self._until_s[server_id] = self._clock.now() + left_s
        else:
            self._until_s.pop(server_id, None)

    def forget(self, server_id: str) -> None:
        """Remove a server that left."""
        self._until_s.pop(server_id, None)

    def left_s(self, server: ServerRecord) -> float:
        """Return the seconds for which a server still counts as cold; 0: it does not."""
        limit = self._limits.get(server.service)
        if limit is None or not self.has_any():
            return 0.0
        reported_s = self._reported_left_s(server.server_id)
        after_evacuation_s = limit.cold_s - self._evacuations.in_use_for_s(server.zone)
        return max(0.0, reported_s, after_evacuation_s)

    def has_any(self) -> bool:
        """Return whether any server may be cold: a cheap check before those of each server."""
        return bool(self._until_s) or self._evacuations.has_ended_within(self._longest_s)

    def is_cold(self, server: ServerRecord) -> bool:
        """Return whether a server counts as cold."""
        return self.left_s(server) > 0

    def _reported_left_s(self, server_id: str) -> float:
        until_s = self._until_s.get(server_id)
        if until_s is None:
            return 0.0
        left_s = until_s - self._clock.now()
        if left_s <= 0:
            del self._until_s[server_id]
        return left_s

    def limit_of(self, service: str) -> ColdLimit | None:
        """Return the limit of the servers of a service; None: they have none."""
        return self._limits.get(service)
