"""Selects the servers that lose their ranges, and those that may be given some."""

from collections.abc import Callable

from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.resting_owners import RestingOwners
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

SpeedOf = Callable[[str], float]
"""Returns the seconds that a request takes at a server, by its id: more is slower."""


class OwnerCandidates:
    """Judges the servers of a service as owners of its ranges."""

    def __init__(
        self,
        servers: ServerSource,
        reach: ServerReach,
        resting: RestingOwners,
        speed_of: SpeedOf,
    ) -> None:
        self._servers = servers
        self._reach = reach
        self._resting = resting
        self._speed_of = speed_of

    def servers_to_drain(self, table: OwnershipTable) -> dict[str, str]:
        """Return the owners that are to lose all their ranges, each with the reason."""
        to_drain: dict[str, str] = {}
        for owned in table.ranges:
            if not self._servers.is_usable(owned.server_id):
                to_drain[owned.server_id] = "leaving"
            elif self._reach.is_lost(owned.server_id):
                to_drain[owned.server_id] = "out_of_reach"
        return to_drain

    def capacities(self, service: str, to_drain: dict[str, str]) -> list[ServerCapacity]:
        """Return the servers that may be given keys: none that rest, and cold ones only if all are.

        A cold server (see ServerSource.is_cold) is overloaded by little more than half of its usual
        load. A resting one that refuses all requests has no load and would look idle.
        """
        remaining = [
            each
            for each in self._servers.usable(service)
            if each.server_id not in to_drain
            and not self._reach.is_suspect(each.server_id)
            and not self._resting.is_resting(each.server_id)
        ]
        warm = [each for each in remaining if not self._servers.is_cold(each.server_id)]
        return [self._capacity(each) for each in warm or remaining]

    def _capacity(self, server: ServerRecord) -> ServerCapacity:
        """Return the capacity of a server.

        A server that names a limit keeps the keys that it can serve, so that its answers go on to
        report the limit.
        """
        limit_per_s = self._servers.limit_per_s(server.server_id)
        return ServerCapacity(
            server.server_id,
            server.slots,
            server.slots / self._speed_of(server.server_id),
            float("inf") if limit_per_s is None else limit_per_s,
        )
